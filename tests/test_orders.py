"""Prove that an agent relays an order once, in time, and never a stale one."""

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
    """Give orders to the desk of one rank; no owner runs."""

    def setUp(self) -> None:
        """Keep the logs quiet."""
        logging.getLogger('tamarackthread').setLevel(logging.CRITICAL)
        self.addCleanup(
            logging.getLogger('tamarackthread').setLevel,
            logging.NOTSET,
        )

    def _run(self, scene: object) -> None:
        async def whole() -> None:
            world = switch_world.World(
                switch_world.WorldSettings(1, ranks=4, owners=0),
            )
            world.start()
            await asyncio.sleep(1)
            await scene(world)

        experiment.run_paused(whole)

    async def _give(self, world: object, order: object) -> object:
        reply = await world.hosts[0].runtime.executor.handle_order(order)
        return order_state.from_json(reply.body)

    def test_stale(self) -> None:
        """An order with an older number is refused and does not run."""

        async def scene(world: object) -> None:
            await self._give(world, _order(5, 'new'))
            state = await self._give(world, _order(4, 'old'))
            self.assertEqual(state.code, order_errors.OrderStale.code)
            await asyncio.sleep(1)
            run = [one.fence for one in world.group.history.orders]
            self.assertEqual(run, [5])

        self._run(scene)

    def test_restarted_agent_learns_number(self) -> None:
        """A restarted agent refuses what its memory would have refused.

        The owner's number is 1 at control.  The agent restarts and an order
        with number 0 arrives late: before the agent has asked control it
        relays nothing, and afterwards it knows that 0 is old.
        """

        async def scene(world: object) -> None:
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
            state = await self._give(world, _order(granted.fence - 1))
            self.assertEqual(state.code, order_errors.FenceUnknown.code)
            world.links.heal()
            await asyncio.sleep(2)
            state = await self._give(world, _order(granted.fence - 1))
            self.assertEqual(state.code, order_errors.OrderStale.code)
            self.assertEqual(world.group.history.orders, [])

        self._run(scene)

    def test_expired(self) -> None:
        """An order after its deadline is refused and does not run."""

        async def scene(world: object) -> None:
            state = await self._give(world, _order(1, deadline_ms=0))
            self.assertEqual(state.code, order_errors.OrderExpired.code)
            self.assertEqual(world.group.history.orders, [])

        self._run(scene)

    def test_sent_again(self) -> None:
        """Sending an order again tells its progress and runs it once."""

        async def scene(world: object) -> None:
            states = [(await self._give(world, _order(1))).state]
            await asyncio.sleep(1)
            states.append((await self._give(world, _order(1))).state)
            self.assertEqual(states, [order_state.RUNNING, order_state.DONE])
            self.assertEqual(len(world.group.history.orders), 1)

        self._run(scene)

    def test_failed_order_resumes(self) -> None:
        """An order that failed runs on when it is sent again."""

        async def scene(world: object) -> None:
            down = asyncio.create_task(world.hosts[0].engine.restart(0.5))
            await asyncio.sleep(0.01)
            await self._give(world, _order(1))
            await asyncio.sleep(0.01)
            failed = await self._give(world, _order(1))
            await down
            await asyncio.sleep(1)
            resumed = await self._give(world, _order(1))
            self.assertEqual(failed.state, order_state.RUNNING)
            self.assertEqual(resumed.code, order_errors.EngineFailed.code)
            await asyncio.sleep(1)
            done = await self._give(world, _order(1))
            self.assertEqual(done.state, order_state.DONE)

        self._run(scene)

    def test_cancel(self) -> None:
        """A cancelled order ends, also when it comes after the cancel."""

        async def scene(world: object) -> None:
            await self._give(world, _order(1))
            for name in ('one', 'later'):
                body = json.dumps({'order_id': name})
                cancel = _order(1, 'c', action=order_state.CANCEL, body=body)
                await self._give(world, cancel)
                await asyncio.sleep(0.1)
                state = await self._give(world, _order(1, name))
                self.assertEqual(state.state, order_state.CANCELLED)

        self._run(scene)

    def test_nonsense(self) -> None:
        """Unknown actions, groups and bodies are refused by their code."""

        async def scene(world: object) -> None:
            for changed in (
                {'action': 'dance'},
                {'group': 'other'},
                {'action': order_state.MAP_ARM, 'body': '{'},
                {'action': order_state.MAP_ARM, 'body': '[]'},
                {'action': order_state.CANCEL, 'body': '[]'},
            ):
                state = await self._give(world, _order(1, **changed))
                self.assertEqual(state.code, order_errors.OrderInvalid.code)

        self._run(scene)


class TestStoreSlots(unittest.TestCase):
    """Share the weight store by leases."""

    def test_slots_bound_loaders(self) -> None:
        """No more loaders than slots load at once; urgent ones get theirs.

        Four loaders compete for two common slots and slot 0.  Background
        loaders never take slot 0, so that an urgent one need not wait for
        them.
        """

        async def scene() -> None:
            control = fake_control.Control()
            settings = store_slots.SlotSettings(slots=3, lease_ms=60_000)
            got: list[str] = []

            async def take(name: str, urgent: bool) -> None:
                store = store_slots.LeasedStoreLimiter(
                    fake_control.LocalControl(control),
                    name,
                    settings,
                    random.Random(name),
                )
                await store.acquire(urgent)
                got.append(name)

            tasks = [
                asyncio.create_task(take(f'background-{number}', urgent=False))
                for number in range(4)
            ]
            await asyncio.sleep(20)
            self.assertEqual(len(got), 2)
            await asyncio.wait_for(take('urgent', urgent=True), 10)
            for task in tasks:
                task.cancel()

        experiment.run_paused(scene)
