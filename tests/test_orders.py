"""Test that an agent executes an order once, in time, and never a stale one."""

import asyncio
import json
import logging
import random
import unittest

from bench.engines import fake_control, switch_world
from bench.experiments import switch as experiment
from tamarackthread.agent import order_errors, order_state, store_slots
from tamarackthread.generated.messages import ttypes as messages


def _order(fence: int, name: str = 'one', **changed: object) -> object:
    fields = {
        'group': switch_world.GROUP,
        'fence': fence,
        'order_id': name,
        'action': 'load_adapter',
        'body': '{}',
        'deadline_ms': 500,
    }
    return messages.GroupOrder(**{**fields, **changed})


class TestOrders(unittest.TestCase):
    """Send orders to the executor of one rank; no owner runs."""

    def setUp(self) -> None:
        """Silence the logs."""
        logging.getLogger('tamarackthread').setLevel(logging.CRITICAL)
        self.addCleanup(
            logging.getLogger('tamarackthread').setLevel,
            logging.NOTSET,
        )

    def _run(self, scenario: object) -> None:
        async def whole() -> None:
            world = switch_world.World(
                switch_world.WorldSettings(1, ranks=4, owners=0),
            )
            world.start()
            await asyncio.sleep(1)
            await scenario(world)

        experiment.run_paused(whole)

    async def _send(self, world: object, order: object) -> object:
        reply = await world.hosts[0].runtime.executor.handle_order(order)
        return order_state.from_json(reply.body)

    def test_stale(self) -> None:
        """An order with a lower fencing number is refused."""

        async def scenario(world: object) -> None:
            await self._send(world, _order(5, 'new'))
            state = await self._send(world, _order(4, 'old'))
            self.assertEqual(state.code, order_errors.OrderStale.code)
            await asyncio.sleep(1)
            run = [one.fence for one in world.group.history.orders]
            self.assertEqual(run, [5])

        self._run(scenario)

    def test_restarted_agent_reads_fence(self) -> None:
        """A restarted agent refuses a stale order, both before and after it
        has read the fencing number from control.
        """

        async def scenario(world: object) -> None:
            lease = messages.LeaseRequest(
                name=switch_world.GROUP,
                holder='x',
                lease_ms=2000,
                fence=0,
                release=False,
            )
            granted = await world.control.lease(lease)
            world.links.cut('rank-0', [fake_control.CONTROL])
            await world.hosts[0].restart_agent(0.1)
            state = await self._send(world, _order(granted.fence - 1))
            self.assertEqual(state.code, order_errors.FenceUnknown.code)
            world.links.heal()
            await asyncio.sleep(2)
            state = await self._send(world, _order(granted.fence - 1))
            self.assertEqual(state.code, order_errors.OrderStale.code)
            self.assertEqual(world.group.history.orders, [])

        self._run(scenario)

    def test_expired(self) -> None:
        """An order past its deadline is refused."""

        async def scenario(world: object) -> None:
            state = await self._send(world, _order(1, deadline_ms=0))
            self.assertEqual(state.code, order_errors.OrderExpired.code)
            self.assertEqual(world.group.history.orders, [])

        self._run(scenario)

    def test_resent(self) -> None:
        """Resending an order returns its state and doesn't run it again."""

        async def scenario(world: object) -> None:
            states = [(await self._send(world, _order(1))).state]
            await asyncio.sleep(1)
            states.append((await self._send(world, _order(1))).state)
            self.assertEqual(states, [order_state.RUNNING, order_state.DONE])
            self.assertEqual(len(world.group.history.orders), 1)

        self._run(scenario)

    def test_failed_order_resumes(self) -> None:
        """Resending a failed order resumes it."""

        async def scenario(world: object) -> None:
            down = asyncio.create_task(world.hosts[0].engine.restart(0.5))
            await asyncio.sleep(0.01)
            await self._send(world, _order(1))
            await asyncio.sleep(0.01)
            failed = await self._send(world, _order(1))
            await down
            await asyncio.sleep(1)
            resumed = await self._send(world, _order(1))
            self.assertEqual(failed.state, order_state.RUNNING)
            self.assertEqual(resumed.code, order_errors.EngineFailed.code)
            await asyncio.sleep(1)
            done = await self._send(world, _order(1))
            self.assertEqual(done.state, order_state.DONE)

        self._run(scenario)

    def test_cancel(self) -> None:
        """A cancelled order ends, also if it arrives after the cancellation."""

        async def scenario(world: object) -> None:
            await self._send(world, _order(1))
            for name in ('one', 'later'):
                body = json.dumps({'order_id': name})
                cancel = _order(1, 'c', action=order_state.CANCEL, body=body)
                await self._send(world, cancel)
                await asyncio.sleep(0.1)
                state = await self._send(world, _order(1, name))
                self.assertEqual(state.state, order_state.CANCELLED)

        self._run(scenario)

    def test_malformed(self) -> None:
        """Unknown actions and groups and malformed bodies are refused."""

        async def scenario(world: object) -> None:
            for changed in (
                {'action': 'dance'},
                {'group': 'other'},
                {'action': order_state.MAP_ARM, 'body': '{'},
                {'action': order_state.MAP_ARM, 'body': '[]'},
                {'action': order_state.CANCEL, 'body': '[]'},
            ):
                state = await self._send(world, _order(1, **changed))
                self.assertEqual(state.code, order_errors.OrderInvalid.code)

        self._run(scenario)


class TestStoreSlots(unittest.TestCase):
    """Lease the slots of the weight store."""

    def test_slots_bound_loaders(self) -> None:
        """Concurrent loaders are limited to the slots, and background loaders
        never take the urgent one.
        """

        async def scenario() -> None:
            control = fake_control.Control()
            settings = store_slots.SlotSettings(slots=3, lease_ms=60_000)
            acquired: list[str] = []

            async def take(name: str, urgent: bool) -> None:
                store = store_slots.LeasedStoreLimiter(
                    fake_control.LocalControl(control),
                    name,
                    settings,
                    random.Random(name),
                )
                await store.acquire(urgent)
                acquired.append(name)

            tasks = [
                asyncio.create_task(take(f'background-{number}', urgent=False))
                for number in range(4)
            ]
            await asyncio.sleep(20)
            self.assertEqual(len(acquired), 2)
            await asyncio.wait_for(take('urgent', urgent=True), 10)
            for task in tasks:
                task.cancel()

        experiment.run_paused(scenario)
