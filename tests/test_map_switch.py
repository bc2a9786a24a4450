"""Test that all ranks of a group use the same map in every step."""

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
    """Silence the logs."""
    logging.getLogger('tamarackthread').setLevel(logging.CRITICAL)
    logging.getLogger('transitions').setLevel(logging.CRITICAL)


def tearDownModule() -> None:  # noqa: N802
    """Restore the logs."""
    logging.getLogger('tamarackthread').setLevel(logging.NOTSET)
    logging.getLogger('transitions').setLevel(logging.NOTSET)


class SwitchOnArrival(group.RankEngine):
    """Use the new map on arrival of the record instead of at its step."""

    def begin(self, step: int) -> str | None:
        """Return the target map of an open record."""
        record = self.record
        if record is not None and record.is_open:
            self._begun = step
            return record.target
        return super().begin(step)


class RestartWithOldMap(group.RankEngine):
    """Restart with the initial map instead of control's record."""

    async def restart(self, seconds: float) -> None:
        """Set a record of the initial map."""
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
    """Disable the check of fencing numbers and deadlines."""
    executor._check = lambda order, expires_at: None


def _run_with_faults(seed: int, **faults: object) -> switch_checker.Findings:
    settings = switch_world.WorldSettings(
        seed,
        RANKS,
        links=network.NetworkSettings(
            late_share=0.03,
            late_seconds=4,
            lost_share=0.005,
        ),
        **faults,
    )
    return experiment.run_world(settings, 60)


class TestSimulations(unittest.TestCase):
    """Run simulated groups and check their history."""

    def test_without_faults(self) -> None:
        """Without faults every switch is committed and no rank holds."""
        settings = switch_world.WorldSettings(1, RANKS)
        found = experiment.run_world(settings, 20, calm=True)
        self.assertGreater(found.switches, 4)
        self.assertEqual(found.aborted, 0)
        self.assertEqual(set(found.held_ms), {0})
        self.assertEqual(found.mixed_map_steps, 0)

    def test_with_faults(self) -> None:
        """No step mixes two maps under stalls, restarts, partitions, and
        delayed or lost messages.
        """
        found = [_run_with_faults(seed) for seed in (41, 42, 43)]
        self.assertGreater(sum(one.switches for one in found), 5)
        self.assertGreater(sum(one.orders for one in found), 50)
        for one in found:
            self.assertEqual(one.mixed_map_steps, 0)
            self.assertEqual(one.unrecorded_map_steps, 0)
            self.assertEqual(one.stale_orders_run, 0)
            self.assertEqual(one.undecided, 0)

    def test_checker_sees_switch_on_arrival(self) -> None:
        """The checker detects a rank that switches on arrival of the record."""
        settings = switch_world.WorldSettings(
            1,
            RANKS,
            engine_class=SwitchOnArrival,
        )
        found = experiment.run_world(settings, 10, calm=True)
        self.assertGreater(found.mixed_map_steps, 0)

    def test_checker_sees_old_map(self) -> None:
        """The checker detects a rank that restarts with the initial map."""
        found = [
            _run_with_faults(seed, engine_class=RestartWithOldMap)
            for seed in (41, 42, 43)
        ]
        self.assertGreater(sum(one.mixed_map_steps for one in found), 0)


class _Simulation:
    """Simulate a group without faults and without automatic switches."""

    def __init__(self, **faults: object) -> None:
        settings = switch_world.WorldSettings(5, RANKS, **faults)
        self.world = switch_world.World(settings)
        self.world.switching = False
        self.world.start()
        self.owner = self.world.hosts[0]

    async def settle(self) -> None:
        """Wait until the group has an owner and all ranks are steady."""
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


class TestSingleFaults(unittest.TestCase):
    """Inject single faults at critical moments of a switch."""

    def _run(self, scenario: object) -> None:
        experiment.run_paused(scenario)

    def test_restart_between_arm_and_step(self) -> None:
        """A rank whose engine and agent restart after arming reads the commit
        from control before its first step.
        """

        async def scenario() -> None:
            simulation = _Simulation()
            await simulation.settle()
            host = simulation.world.hosts[3]
            switching = asyncio.create_task(
                simulation.owner.runtime.coordinator.switch_to(
                    simulation.world.next_map()
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
            found = simulation.check()
            self.assertEqual(found.mixed_map_steps, 0)
            self.assertEqual(found.unrecorded_map_steps, 0)
            last = simulation.world.group.history.steps[-1]
            self.assertEqual(set(last.maps), {decided.target})

        self._run(scenario)

    def test_owner_lost_before_decision(self) -> None:
        """If the owner is partitioned after arming, the next one aborts the
        switch before its step, so that no rank holds.
        """

        async def scenario() -> None:
            simulation = _Simulation()
            await simulation.settle()
            switching = asyncio.create_task(
                simulation.owner.runtime.coordinator.switch_to(
                    simulation.world.next_map()
                ),
            )
            while (
                simulation.world.hosts[3].runtime.participant.state
                != lifecycle.ARMED
            ):
                await asyncio.sleep(0.001)
            nodes = {host.node for host in simulation.world.hosts}
            nodes.add(fake_control.CONTROL)
            own = simulation.owner.node
            simulation.world.links.cut(own, nodes - {own})
            with self.assertRaises(order_errors.NotOwner):
                await switching
            simulation.world.links.heal()
            await asyncio.sleep(5)
            found = simulation.check()
            self.assertEqual((found.switches, found.aborted), (0, 1))
            self.assertEqual(found.mixed_map_steps, 0)
            self.assertEqual(found.held_ms[0], 0)
            last = simulation.world.group.history.steps[-1]
            self.assertEqual(
                set(last.maps), {simulation.world.initial.digest()}
            )

        self._run(scenario)

    def _stale_orders(self, **faults: object) -> int:
        """Delay an order past a change of owner; count stale orders run."""
        found = []

        async def scenario() -> None:
            simulation = _Simulation(**faults)
            await simulation.settle()
            own = simulation.owner.node
            simulation.world.links.delay_next(own, 'rank-3', 8)
            owner = simulation.owner.runtime.owner
            giving = owner.order(3, 'load_adapter', 'late', '{}')
            late = asyncio.create_task(giving)
            await asyncio.sleep(0.01)
            simulation.world.links.cut(own, [fake_control.CONTROL])
            await asyncio.sleep(15)
            self.assertIsInstance(late.exception(), errors.RequestTimeout)
            found.append(simulation.check().stale_orders_run)

        self._run(scenario)
        return found[0]

    def test_stale_order(self) -> None:
        """A delayed order of a previous owner is refused."""
        self.assertEqual(self._stale_orders(), 0)

    def test_checker_sees_stale_orders(self) -> None:
        """The checker detects a stale order that runs without the check."""
        self.assertEqual(self._stale_orders(plant=remove_check), 1)

    def test_no_control(self) -> None:
        """Armed ranks hold at the step while control is unreachable; then the
        switch is aborted and the old map stays in use.
        """

        async def scenario() -> None:
            simulation = _Simulation()
            await simulation.settle()
            switching = asyncio.create_task(
                simulation.owner.runtime.coordinator.switch_to(
                    simulation.world.next_map()
                ),
            )
            while (
                simulation.world.hosts[3].runtime.participant.state
                != lifecycle.ARMED
            ):
                await asyncio.sleep(0.001)
            nodes = [host.node for host in simulation.world.hosts]
            simulation.world.links.cut(fake_control.CONTROL, nodes)
            await asyncio.sleep(10)
            step = simulation.world.group.step
            await asyncio.sleep(1)
            self.assertEqual(simulation.world.group.step, step)
            simulation.world.links.heal()
            await asyncio.sleep(5)
            with self.assertRaises(order_errors.NotOwner):
                await switching
            found = simulation.check()
            self.assertEqual((found.switches, found.aborted), (0, 1))
            self.assertEqual(found.mixed_map_steps, 0)
            self.assertGreater(found.held_ms[0], 0)
            self.assertGreater(simulation.world.group.step, step)

        self._run(scenario)

    def test_restart_during_load(self) -> None:
        """A load fails if the engine restarts while it is paused, because the
        pieces loaded before are lost.
        """

        async def scenario() -> None:
            simulation = _Simulation()
            await simulation.settle()
            host = simulation.world.hosts[3]
            target = simulation.world.next_map()
            loading = asyncio.create_task(
                host.runtime.participant.load(target, _ignore_progress),
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
            await host.runtime.participant.load(target, _ignore_progress)
            wanted = switch_participant.rank_moves(
                target.holds(), 3, urgent=False
            )
            loaded = await host.engine.loaded()
            self.assertLessEqual(set(wanted), set(loaded))

        self._run(scenario)

    def test_stalled_rank_aborts(self) -> None:
        """A rank that can't arm in time aborts the switch; the group goes on."""

        async def scenario() -> None:
            simulation = _Simulation()
            await simulation.settle()
            host = simulation.world.hosts[3]
            switching = asyncio.create_task(
                simulation.owner.runtime.coordinator.switch_to(
                    simulation.world.next_map()
                ),
            )
            while not simulation.world.control.records:
                await asyncio.sleep(0.001)
            host.engine.stall(1)
            with self.assertRaises(order_errors.SwitchAborted):
                await switching
            await asyncio.sleep(3)
            self.assertEqual(simulation.check().mixed_map_steps, 0)
            self.assertEqual(host.runtime.participant.state, lifecycle.STEADY)

        self._run(scenario)

    def test_arm_too_late(self) -> None:
        """An arm order is refused after its step has begun."""

        async def scenario() -> None:
            simulation = _Simulation()
            await simulation.settle()
            host = simulation.world.hosts[3]
            target = simulation.world.next_map()
            await host.runtime.participant.load(target, _ignore_progress)
            status: engine.EngineStatus = await host.engine.status()
            record = switch_record.SwitchRecord(
                1,
                switch_record.Stage.PREPARED,
                status.step - 5,
                simulation.world.initial.digest(),
                target.digest(),
            )
            with self.assertRaises(order_errors.ArmTooLate):
                await host.runtime.participant.arm(record, 1)
            self.assertEqual(host.runtime.participant.state, lifecycle.LOADED)

        self._run(scenario)


def _ignore_progress(done: float) -> None:
    """Ignore the progress."""
