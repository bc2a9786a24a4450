"""Prove that all ranks of a group use the same map in every step."""

import asyncio
import logging
import unittest

from bench.engines import (
    fake_control,
    group,
    network,
    switch_checker,
    switch_world,
)
from bench.experiments import switch as experiment
from tamarackthread.agent import (
    engine,
    lifecycle,
    order_errors,
    orders,
    switch_participant,
    switch_record,
)
from tamarackthread.shared import errors

RANKS = 6


def setUpModule() -> None:  # noqa: N802
    """Keep the log of the troubles out of the test's output."""
    logging.getLogger('tamarackthread').setLevel(logging.CRITICAL)
    logging.getLogger('transitions').setLevel(logging.CRITICAL)


def tearDownModule() -> None:  # noqa: N802
    """Give the logs back."""
    logging.getLogger('tamarackthread').setLevel(logging.NOTSET)
    logging.getLogger('transitions').setLevel(logging.NOTSET)


class SwitchOnArrival(group.RankEngine):
    """Take the new map when the message comes, not at the step."""

    def begin(self, step: int) -> str | None:
        """Ignore the step."""
        record = self.record
        if record is not None and record.is_open:
            self._begun = step
            return record.target
        return super().begin(step)


class RestartWithOldMap(group.RankEngine):
    """Come back from a restart with the map of the first start."""

    async def restart(self, seconds: float) -> None:
        """Keep the first record instead of waiting for control's."""
        await super().restart(seconds)
        initial = next(iter(self._group._durations))
        self.record = switch_record.SwitchRecord(
            1 << 30,
            switch_record.Stage.ABORTED,
            0,
            initial,
            initial,
        )


def remove_check(executor: orders.OrderExecutor) -> None:
    """Have the desk relay every order, whatever its number."""
    executor._check = lambda order, expires_at: None


def _disturbed(seed: int, **planted: object) -> switch_checker.Findings:
    settings = switch_world.WorldSettings(
        seed,
        RANKS,
        links=network.NetworkSettings(
            late_share=0.03,
            late_seconds=4,
            lost_share=0.005,
        ),
        **planted,
    )
    return experiment.run_world(settings, 60)


class TestWorlds(unittest.TestCase):
    """Run whole groups and check their history."""

    def test_calm(self) -> None:
        """Without trouble every switch is committed and none holds."""
        settings = switch_world.WorldSettings(1, RANKS)
        found = experiment.run_world(settings, 20, calm=True)
        self.assertGreater(found.switches, 4)
        self.assertEqual(found.aborted, 0)
        self.assertEqual(set(found.held_ms), {0})
        self.assertEqual(found.mixed_map_steps, 0)

    def test_troubles(self) -> None:
        """No step has two maps, whatever fails.

        Engines and agents stall and restart, owners are cut off from
        control or from ranks and replaced, messages come late or never, two
        troubles at once.  Switches are aborted and held, never mixed.
        """
        found = [_disturbed(seed) for seed in (41, 42, 43)]
        self.assertGreater(sum(one.switches for one in found), 5)
        self.assertGreater(sum(one.orders for one in found), 50)
        for one in found:
            self.assertEqual(one.mixed_map_steps, 0)
            self.assertEqual(one.unrecorded_map_steps, 0)
            self.assertEqual(one.stale_orders_run, 0)
            self.assertEqual(one.undecided, 0)

    def test_checker_sees_switch_on_arrival(self) -> None:
        """A rank that switches when the message comes is found out."""
        settings = switch_world.WorldSettings(
            1,
            RANKS,
            engine_class=SwitchOnArrival,
        )
        found = experiment.run_world(settings, 10, calm=True)
        self.assertGreater(found.mixed_map_steps, 0)

    def test_checker_sees_old_map(self) -> None:
        """A rank that restarts with its first map is found out."""
        found = [
            _disturbed(seed, engine_class=RestartWithOldMap)
            for seed in (41, 42, 43)
        ]
        self.assertGreater(sum(one.mixed_map_steps for one in found), 0)


class _Scene:
    """Be a calm world without owners that switch by themselves."""

    def __init__(self, **planted: object) -> None:
        settings = switch_world.WorldSettings(5, RANKS, **planted)
        self.world = switch_world.World(settings)
        self.world.switching = False
        self.world.start()
        self.owner = self.world.hosts[0]

    async def settle(self) -> None:
        """Wait until an owner leads and all ranks are placed."""
        await asyncio.sleep(5)
        owners = [
            host for host in self.world.hosts if host.runtime.owner.is_owner
        ]
        self.owner = owners[0]

    def check(self) -> switch_checker.Findings:
        """Check the history so far."""
        return switch_checker.check(
            self.world.group.history,
            self.world.control.records,
            self.world.initial.digest(),
        )


class TestScenes(unittest.TestCase):
    """Induce single failures at the worst moments."""

    def _run(self, scene: object) -> None:
        experiment.run_paused(scene)

    def test_restart_between_arm_and_step(self) -> None:
        """A rank that restarts after it armed comes back with the decision.

        The rank's engine and agent both die right after the arm order; the
        owner counts it as armed and commits.  The rank reads control at its
        start and begins no step before.
        """

        async def scene() -> None:
            world = _Scene()
            await world.settle()
            host = world.world.hosts[3]
            switching = asyncio.create_task(
                world.owner.runtime.coordinator.switch_to(
                    world.world.next_map()
                ),
            )
            while host.runtime.participant.state != lifecycle.ARMED:
                await asyncio.sleep(0.001)
            await asyncio.gather(
                host.engine.restart(0.4),
                host.restart_agent(0.3),
            )
            decided = await switching
            await asyncio.sleep(5)
            self.assertEqual(decided.stage, switch_record.Stage.COMMITTED)
            self.assertEqual(
                host.runtime.participant.record.settled_map, decided.target
            )
            found = world.check()
            self.assertEqual(found.mixed_map_steps, 0)
            self.assertEqual(found.unrecorded_map_steps, 0)
            last = world.world.group.history.steps[-1]
            self.assertEqual(set(last.maps), {decided.target})

        self._run(scene)

    def test_owner_lost_before_decision(self) -> None:
        """Callers see no pause when the owner is lost in a switch.

        The owner is cut off from everyone once all ranks have armed.  Its
        lease ends, the next owner finds the open switch and records the
        abort, all before the step comes; the old owner decides nothing.
        """

        async def scene() -> None:
            world = _Scene()
            await world.settle()
            switching = asyncio.create_task(
                world.owner.runtime.coordinator.switch_to(
                    world.world.next_map()
                ),
            )
            while (
                world.world.hosts[3].runtime.participant.state
                != lifecycle.ARMED
            ):
                await asyncio.sleep(0.001)
            nodes = {host.node for host in world.world.hosts}
            nodes.add(fake_control.CONTROL)
            own = world.owner.node
            world.world.links.cut(own, nodes - {own})
            with self.assertRaises(order_errors.NotOwner):
                await switching
            world.world.links.heal()
            await asyncio.sleep(5)
            found = world.check()
            self.assertEqual((found.switches, found.aborted), (0, 1))
            self.assertEqual(found.mixed_map_steps, 0)
            self.assertEqual(found.held_ms[0], 0)
            last = world.world.group.history.steps[-1]
            self.assertEqual(set(last.maps), {world.world.initial.digest()})

        self._run(scene)

    def _stale_orders(self, **planted: object) -> int:
        """Delay an old owner's order until the next owner has begun."""
        found = []

        async def scene() -> None:
            world = _Scene(**planted)
            await world.settle()
            own = world.owner.node
            world.world.links.delay_next(own, 'rank-3', 8)
            owner = world.owner.runtime.owner
            giving = owner.order(3, 'load_adapter', 'late', '{}')
            late = asyncio.create_task(giving)
            await asyncio.sleep(0.01)
            world.world.links.cut(own, [fake_control.CONTROL])
            await asyncio.sleep(15)
            self.assertIsInstance(late.exception(), errors.RequestTimeout)
            found.append(world.check().stale_orders_run)

        self._run(scene)
        return found[0]

    def test_stale_order(self) -> None:
        """An old owner's order that comes late does not run.

        It spends 8 s on its way to rank 3.  Meanwhile its owner is cut off
        from control and another takes over and gives orders of its own.
        The agent of rank 3 knows the new number by then and refuses.
        """
        self.assertEqual(self._stale_orders(), 0)

    def test_checker_sees_stale_orders(self) -> None:
        """With the desk's check removed the late order runs and is found."""
        self.assertEqual(self._stale_orders(plant=remove_check), 1)

    def test_no_control(self) -> None:
        """Ranks hold at the step while nobody can reach control.

        Control is cut off from all once the ranks have armed.  No rank may
        pass the step; when control is back the switch is aborted and the
        group goes on with its old map.
        """

        async def scene() -> None:
            world = _Scene()
            await world.settle()
            switching = asyncio.create_task(
                world.owner.runtime.coordinator.switch_to(
                    world.world.next_map()
                ),
            )
            while (
                world.world.hosts[3].runtime.participant.state
                != lifecycle.ARMED
            ):
                await asyncio.sleep(0.001)
            nodes = [host.node for host in world.world.hosts]
            world.world.links.cut(fake_control.CONTROL, nodes)
            await asyncio.sleep(10)
            step = world.world.group.step
            await asyncio.sleep(1)
            self.assertEqual(world.world.group.step, step)
            world.world.links.heal()
            await asyncio.sleep(5)
            with self.assertRaises(order_errors.NotOwner):
                await switching
            found = world.check()
            self.assertEqual((found.switches, found.aborted), (0, 1))
            self.assertEqual(found.mixed_map_steps, 0)
            self.assertGreater(found.held_ms[0], 0)
            self.assertGreater(world.world.group.step, step)

        self._run(scene)

    def test_restart_during_load(self) -> None:
        """A rank whose engine restarts while it loads does not arm.

        The load stands still for an urgent call while the engine restarts
        and is placed again.  What came before the restart is gone, so the
        load fails and the rank arms only after one that loads all.
        """

        async def scene() -> None:
            world = _Scene()
            await world.settle()
            host = world.world.hosts[3]
            target = world.world.next_map()
            loading = asyncio.create_task(
                host.runtime.participant.load(target, _no_report),
            )
            await asyncio.sleep(0.01)
            host.runtime.urgent.arrived()
            await asyncio.sleep(0.01)
            await host.engine.restart(0.1)
            await asyncio.sleep(2)
            self.assertEqual(host.runtime.participant.state, lifecycle.STEADY)
            host.runtime.urgent.finished()
            with self.assertRaises(order_errors.RankNotReady):
                await loading
            await host.runtime.participant.load(target, _no_report)
            wanted = switch_participant.rank_moves(
                target.holds(), 3, urgent=False
            )
            loaded = await host.engine.loaded()
            self.assertLessEqual(set(wanted), set(loaded))

        self._run(scene)

    def test_stalled_rank_aborts(self) -> None:
        """A rank that cannot arm in time costs the switch, not the group."""

        async def scene() -> None:
            world = _Scene()
            await world.settle()
            host = world.world.hosts[3]
            switching = asyncio.create_task(
                world.owner.runtime.coordinator.switch_to(
                    world.world.next_map()
                ),
            )
            while not world.world.control.records:
                await asyncio.sleep(0.001)
            host.engine.stall(1)
            with self.assertRaises(order_errors.SwitchAborted):
                await switching
            await asyncio.sleep(3)
            self.assertEqual(world.check().mixed_map_steps, 0)
            self.assertEqual(host.runtime.participant.state, lifecycle.STEADY)

        self._run(scene)

    def test_arm_too_late(self) -> None:
        """An arm order that comes after the step began is refused."""

        async def scene() -> None:
            world = _Scene()
            await world.settle()
            host = world.world.hosts[3]
            target = world.world.next_map()
            await host.runtime.participant.load(target, _no_report)
            status: engine.EngineStatus = await host.engine.status()
            record = switch_record.SwitchRecord(
                1,
                switch_record.Stage.PREPARED,
                status.step - 5,
                world.world.initial.digest(),
                target.digest(),
            )
            with self.assertRaises(order_errors.ArmTooLate):
                await host.runtime.participant.arm(record, 1)
            self.assertEqual(host.runtime.participant.state, lifecycle.LOADED)

        self._run(scene)


def _no_report(done: float) -> None:
    """Take no notice."""
