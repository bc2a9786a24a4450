"""Test that an owner rebalances its group and relays operators' orders."""

import asyncio
import logging
import typing
import unittest

import numpy

from bench.engines import switch_world, timed_work
from bench.experiments import switch as experiment
from tamarackthread.agent import (
    balancer,
    lifecycle,
    order_errors,
    order_state,
    remote_group,
    rollout,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import placement

RANKS = 4
SETTINGS = balancer.BalancerSettings(interval_seconds=10, horizon_seconds=10)


class _Source(balancer.TokenSource):
    """Report the fake group's tokens one interval late."""

    def __init__(self, tokens: numpy.ndarray) -> None:
        self._tokens = tokens

    async def windows(self) -> list[balancer.TokenWindow]:
        now = asyncio.get_running_loop().time()
        return [balancer.TokenWindow(self._tokens, now - 20)]


class TestGroupPart(unittest.TestCase):
    """Run the agents of a group together."""

    def setUp(self) -> None:
        """Silence the logs."""
        for name in ('tamarackthread', 'transitions'):
            log = logging.getLogger(name)
            log.setLevel(logging.CRITICAL)
            self.addCleanup(log.setLevel, logging.NOTSET)

    def _run(self, scenario: typing.Callable) -> None:
        async def whole() -> None:
            world = switch_world.World(switch_world.WorldSettings(1, RANKS))
            world.switching = False
            world.start()
            await asyncio.sleep(5)
            owners = [one for one in world.hosts if one.runtime.owner.is_owner]
            await scenario(world, owners[0])

        experiment.run_paused(whole)

    def _balancer(self, world: object, host: object) -> balancer.Balancer:
        tokens = numpy.ones((1, world.shape.experts))
        tokens[0, 0] = 10
        tokens[0, 1] = 8
        world.group.retune(tokens * 1000)
        return balancer.Balancer(
            host.runtime.owner,
            host.runtime.coordinator,
            placement.IncrementalPlanner(placement.EVEN),
            _Source(tokens * 1000),
            host.runtime.maps,
            SETTINGS,
            timed_work.TimedWork(timed_work.PLAN_SECONDS),
        )

    def test_rebalances(self) -> None:
        """Two hot experts of one rank are separated, which shortens steps."""

        async def scenario(world: object, host: object) -> None:
            planning = self._balancer(world, host)
            await asyncio.sleep(1)
            before = world.group.step_ms
            running = asyncio.create_task(planning.run())
            await asyncio.sleep(60)
            running.cancel()
            self.assertTrue(planning.last_plan)
            self.assertLess(world.group.step_ms, before * 0.7)
            self.assertGreater(len(world.control.records), 1)

        self._run(scenario)

    def test_paused(self) -> None:
        """A paused balancer makes no plan."""

        async def scenario(world: object, host: object) -> None:
            planning = self._balancer(world, host)
            planning.set_paused(paused=True)
            running = asyncio.create_task(planning.run())
            await asyncio.sleep(60)
            running.cancel()
            self.assertIsNone(planning.last_plan)
            self.assertEqual(world.control.records, [])

        self._run(scenario)

    def test_agent_restart_loads_nothing(self) -> None:
        """A restarted agent doesn't reload the weights of its running engine."""

        async def scenario(world: object, host: object) -> None:
            other = next(one for one in world.hosts if one != host)
            before = other.engine.pieces_loaded
            await other.restart_agent(0.1)
            await asyncio.sleep(5)
            self.assertEqual(other.runtime.participant.state, lifecycle.STEADY)
            self.assertEqual(other.engine.pieces_loaded, before)

        self._run(scenario)

    def test_version(self) -> None:
        """A roll-out loads a version at each rank once, even if the group's
        owner is lost meanwhile.
        """

        async def scenario(world: object, host: object) -> None:
            remote = remote_group.RemoteGroup(
                remote_group.RemoteGroupSettings(switch_world.GROUP, 'v1'),
                switch_world.NodeRanks('operator', world),
                float,
            )
            rolling = rollout.Rollout(
                'r1',
                'v2',
                [remote],
                rollout.RolloutLimits(observe_seconds=3),
            )
            running = asyncio.create_task(rolling.run())
            await asyncio.sleep(3.005)
            await host.restart_agent(1)
            await running
            run = [
                one.rank
                for one in world.group.history.orders
                if one.action == 'load_version'
            ]
            self.assertEqual(set(run), set(range(RANKS)))
            others = [rank for rank in run if rank != host.rank]
            self.assertEqual(len(others), len(set(others)))
            self.assertEqual(rolling.progress.left, ())

        self._run(scenario)

    def test_operator_order(self) -> None:
        """An operator's order runs once at every rank, through the owner."""

        async def scenario(world: object, host: object) -> None:
            world.group.history.orders.clear()
            order = messages.GroupOrder(
                group=switch_world.GROUP,
                fence=0,
                order_id='op-1',
                action='set_role',
                body='{"role": "prefill"}',
                deadline_ms=1000,
            )
            states = []
            for _ in range(3):
                reply = await host.runtime.handle_order(order)
                states.append(order_state.from_json(reply.body).state)
                await asyncio.sleep(0.2)
            self.assertEqual(states[0], order_state.RUNNING)
            self.assertEqual(states[2], order_state.DONE)
            run = [
                one.rank
                for one in world.group.history.orders
                if one.action == 'set_role'
            ]
            self.assertEqual(sorted(run), list(range(RANKS)))
            other = next(one for one in world.hosts if one != host)
            reply = await other.runtime.handle_order(order)
            state = order_state.from_json(reply.body)
            self.assertEqual(state.code, order_errors.NotOwner.code)

        self._run(scenario)
