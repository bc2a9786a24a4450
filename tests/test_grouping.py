"""Test agents in their group over HTTP and real links."""

import asyncio
import json
import logging
import pathlib
import random
import tempfile
import unittest

import attrs
import numpy

from bench.engines import fake_control, journal, ranked, switch_checker
from tamarackthread.agent import (
    control_client,
    group_membership,
    lifecycle,
    order_errors,
    order_state,
    rank_addresses,
    role,
    switch_record,
)
from tamarackthread.generated import documents, settings
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import expert_map
from tamarackthread.shared import (
    announcer,
    catalogue,
    errors,
    feed,
    identity,
    link,
    link_pool,
    listener,
    parents,
)
from tests import test_targets

GROUP = 'group-1'
SHAPE = expert_map.GroupShape(layers=2, experts=8, ranks=4, slots=3)
STEP_SECONDS = 0.01
POPULARITY = 0.9
KEY = b'ranks' * 8
POLL_SECONDS = 0.01


def options(node, node_role, address='', incarnation=0):
    own = identity.Identity(
        node=node,
        role=node_role,
        zone='zone-0',
        address=address,
        incarnation=incarnation,
    )
    return identity.LinkOptions(own, keys=(KEY,))


async def until(condition):
    """Wait for a condition; the test runner has the timeout."""
    while not condition():
        await asyncio.sleep(POLL_SECONDS)


class ControlHandler(link.Handler):
    """Stand in for control, with its real tables of leases and decisions."""

    def __init__(self):
        self.control = fake_control.Control()
        self.before_reply = None

    async def on_request(self, held, request):
        if request.lease is not None:
            lease = await self.control.lease(request.lease)
            return messages.Reply(lease=lease)
        if request.decision is not None:
            decision = await self.control.decide(request.decision)
            if request.decision.decision and self.before_reply is not None:
                await self.before_reply(request.decision.decision)
            return messages.Reply(decision=decision)
        raise errors.RequestUnsupported


class Agent:
    """Run one rank's agent with the real handler, without a gate."""

    def __init__(self, rank, engine_address, cluster):
        self.rank = rank
        self.own = settings.Agent(
            target_url=f'http://{engine_address}',
            target_id=f'target-{rank}',
            service='drafting',
            kind='model',
            group=GROUP,
            rank=rank,
            ranks=SHAPE.ranks,
        )
        self._cluster = cluster
        self._starts = 0

    @property
    def runtime(self):
        return self.group.runtime

    async def start(self):
        self._starts += 1
        bound = listener.bind('127.0.0.1', 0)
        self.address = listener.address_of(bound)
        place = options(
            f'agent-{self.rank}',
            messages.Role.AGENT,
            self.address,
            self._starts,
        )
        self.links = link_pool.LinkPool(place)
        self.group = group_membership.GroupMembership(
            self.own,
            place.identity,
            self.links,
            control_client.LinkControlClient(
                self.links, [self._cluster.address]
            ),
        )
        known = feed.ConfigFeed(
            self.links,
            place.identity,
            parents.RandomParentSelector([], random.Random(1)),
            1,
        )
        handler = role.AgentHandler(None, FakeReporter(), known, self.group)
        self.listener = listener.Listener(place, handler)
        await self.listener.start_on_socket(bound)
        await self.group.start()

    async def kill(self):
        """Stop like a killed process, without releasing the lease."""
        self.listener.close()
        self.links.close()
        await self.group.abandon()

    async def stop(self):
        await self.group.stop()
        self.listener.close()
        self.links.close()

    def document(self, revision):
        """Build the target's document as control does."""
        body = documents.Target(
            service=self.own.service,
            region='region-0',
            zone='zone-0',
            address=self.address,
            group=GROUP,
            rank=self.rank,
            ranks=SHAPE.ranks,
        )
        return messages.Document(
            kind='target',
            name=self.own.target_id,
            version=1,
            body=json.dumps(attrs.asdict(body)),
            revision=revision,
        )


class FakeReporter:
    """Stand in for a reporter."""

    def remove(self, held):
        """Ignore a lost link."""

    def add(self, held):
        """Ignore a link."""


class Cluster:
    """Run a group, its agents and control on loopback in one process."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / 'steps.journal'
        self.ranked = ranked.RankedGroup(
            SHAPE,
            STEP_SECONDS,
            journal.Journal(self.path),
            popularity=POPULARITY,
        )
        self.handler = ControlHandler()
        self.held = catalogue.Catalogue()

    async def start(self):
        place = options('control-0', messages.Role.CONTROL)
        self._listener = listener.Listener(place, self.handler)
        self.address = await self._listener.start('127.0.0.1', 0)
        addresses = await self.ranked.start()
        self.agents = [
            Agent(rank, found, self) for rank, found in enumerate(addresses)
        ]
        for agent in self.agents:
            await agent.start()
        self.publish()
        await until(self.is_steady)

    async def stop(self):
        for agent in self.agents:
            await agent.stop()
        await self.ranked.stop()
        self._listener.close()

    def publish(self):
        """Send the current target documents to every agent."""
        for agent in self.agents:
            self.held.advance(self.held.revision + 1)
            self.held.put(agent.document(self.held.revision))
        for agent in self.agents:
            agent.group.update_addresses(self.held)

    def is_steady(self):
        """Tell whether every rank is steady and the group has an owner."""
        parts = [agent.runtime for agent in self.agents]
        if not all(parts):
            return False
        steady = all(one.participant.state == lifecycle.STEADY for one in parts)
        return steady and self.owner() is not None

    def owner(self):
        for agent in self.agents:
            if agent.runtime is not None and agent.runtime.owner.is_owner:
                return agent
        return None

    def other_map(self):
        """Return the cold-start map, rotated by one rank."""
        first = expert_map.cold_start(SHAPE)
        return expert_map.ExpertMap(SHAPE, numpy.roll(first.slots, 1, axis=1))

    def findings(self):
        history = ranked.read_history(self.path)
        first = expert_map.cold_start(SHAPE).digest()
        control = self.handler.control
        return switch_checker.check(history, control.records, first), history


class GroupCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        for name in ('tamarackthread', 'transitions'):
            log = logging.getLogger(name)
            log.setLevel(logging.CRITICAL)
            self.addCleanup(log.setLevel, logging.NOTSET)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(folder.name)
        await self.cluster.start()

    async def asyncTearDown(self):
        await self.cluster.stop()

    async def _wait_past(self, record):
        steps = self.cluster.ranked.group
        await until(lambda: steps.step > record.from_step + 5)

    def _check(self, target):
        found, history = self.cluster.findings()
        self.assertEqual(found.mixed_map_steps, 0)
        self.assertEqual(found.unrecorded_map_steps, 0)
        self.assertEqual(found.stale_orders_run, 0)
        self.assertEqual(found.switches, 1)
        self.assertEqual(found.aborted, 0)
        self.assertEqual(set(history.steps[-1].maps), {target.digest()})

    async def test_switch_by_orders(self):
        target = self.cluster.other_map()
        owner = self.cluster.owner()
        record = await owner.runtime.coordinator.switch_to(target)
        await self._wait_past(record)
        self._check(target)

    async def test_agent_lost_between_arm_and_step(self):
        """An agent restarted after the commit reads it from control and
        releases its holding engine; no step mixes two maps.
        """
        cluster = self.cluster
        target = cluster.other_map()
        owner = cluster.owner()
        lost = next(one for one in cluster.agents if one is not owner)
        engine = cluster.ranked.group.engines[lost.rank]

        async def kill(decision):
            if decision == switch_record.Stage.COMMITTED.value:
                await lost.kill()

        cluster.handler.before_reply = kill
        record = await owner.runtime.coordinator.switch_to(target)
        self.assertTrue(engine.record.is_open)
        self.assertLess(cluster.ranked.group.step, record.from_step)
        await lost.start()
        cluster.publish()
        await self._wait_past(record)
        self._check(target)

    async def test_agent_lost_while_others_arm(self):
        """An agent killed while the group arms applies the recorded outcome at
        its restart, commit or abort.
        """
        cluster = self.cluster
        target = cluster.other_map()
        owner = cluster.owner()
        lost = next(one for one in cluster.agents if one is not owner)
        switching = asyncio.create_task(
            owner.runtime.coordinator.switch_to(target)
        )
        engine = cluster.ranked.group.engines[lost.rank]
        await until(lambda: engine.record.number)
        await lost.kill()
        record = await outcome(switching, cluster)
        await lost.start()
        cluster.publish()
        await self._wait_past(record)
        found, history = cluster.findings()
        self.assertEqual(found.mixed_map_steps, 0)
        self.assertEqual(found.unrecorded_map_steps, 0)
        self.assertEqual(found.undecided, 0)
        self.assertEqual(set(history.steps[-1].maps), {record.settled_map})

    async def test_balanced_by_profile(self):
        """An uneven group switches its map once a profile configures balancing."""
        cluster = self.cluster
        owner = cluster.owner()
        self.assertIsNone(owner.group.planning)
        balance = documents.Balance(
            interval_seconds=1,
            forecast_seconds=1,
            hysteresis_share=0.02,
        )
        for agent in cluster.agents:
            agent.group.apply_balance(balance)
        planning = owner.group.planning
        owner.group.apply_balance(attrs.evolve(balance, move_weight=2))
        self.assertIs(owner.group.planning, planning)
        first = expert_map.cold_start(SHAPE).digest()
        steps = cluster.ranked.group.history.steps
        await until(lambda: steps and set(steps[-1].maps) != {first})
        found, _ = cluster.findings()
        self.assertEqual(found.mixed_map_steps, 0)
        self.assertEqual(found.unrecorded_map_steps, 0)
        owner.group.apply_balance(attrs.evolve(balance, interval_seconds=2))
        self.assertIsNot(owner.group.planning, planning)

    async def test_operator_order(self):
        """An operator's order runs once at each engine."""
        order = messages.GroupOrder(
            group=GROUP,
            fence=0,
            order_id='op-1',
            action='load_adapter',
            body='{"urgent": false}',
            deadline_ms=1000,
        )
        owner = self.cluster.owner()
        orders = self.cluster.ranked.group.history.orders
        state = await send_order(owner, order)
        while state.state == order_state.RUNNING:
            await asyncio.sleep(POLL_SECONDS)
            state = await send_order(owner, order)
        self.assertEqual(state.state, order_state.DONE)
        run = sorted(one.rank for one in orders)
        self.assertEqual(run, list(range(SHAPE.ranks)))

    async def test_planned_stop_releases_lease(self):
        """After a planned stop another owner has a higher fencing number."""
        owner = self.cluster.owner()
        fence = owner.runtime.owner.fence
        await owner.stop()
        others = [one for one in self.cluster.agents if one is not owner]
        await owner.start()
        self.cluster.publish()
        await until(
            lambda: any(
                one.runtime.owner.is_owner
                for one in (*others, owner)
                if one.runtime is not None
            ),
        )
        self.assertGreater(self.cluster.owner().runtime.owner.fence, fence)


async def send_order(agent, order):
    reply = await agent.group.handle_order(order)
    return order_state.from_json(reply.body)


async def outcome(switching, cluster):
    """Return the record in force, committed or aborted."""
    try:
        return await switching
    except order_errors.SwitchAborted:
        return cluster.handler.control.records[-1]


class SettingsCase(unittest.IsolatedAsyncioTestCase):
    async def test_rank_address_is_found(self):
        own = settings.Agent(
            target_url='http://127.0.0.1:1',
            target_id='t',
            service='s',
            group=GROUP,
            rank=3,
            ranks=4,
        )
        place = identity.Identity(
            node='n',
            role=messages.Role.AGENT,
            region='r',
            zone='z',
            address='127.0.0.1:2',
        )
        message = announcer.AnnouncedTarget(own, place).message()
        stage = test_targets.Stage()
        await stage.targets.announce(message, 'agent')
        held = stage.log.machine.documents
        addresses = rank_addresses.RankAddresses(GROUP)
        addresses.update(held)
        self.assertEqual(addresses.addresses, {3: '127.0.0.1:2'})
        other = rank_addresses.RankAddresses('group-2')
        other.update(held)
        self.assertEqual(other.addresses, {})

    def test_candidates(self):
        def stands(rank, candidate):
            own = settings.Agent(
                target_url='http://127.0.0.1:1',
                target_id='t',
                service='s',
                rank=rank,
                candidate=candidate,
            )
            return group_membership.is_candidate(own)

        self.assertTrue(stands(2, 'auto'))
        self.assertFalse(stands(3, 'auto'))
        self.assertTrue(stands(9, 'yes'))
        self.assertFalse(stands(0, 'no'))

    def test_planner_settings(self):
        even = documents.Balance(evenness_weight=3, move_weight=1)
        few = documents.Balance(evenness_weight=1, move_weight=3)
        self.assertLess(
            group_membership.planner_settings(even).move_cost_seconds,
            group_membership.planner_settings(few).move_cost_seconds,
        )
        nothing = documents.Balance(evenness_weight=0)
        self.assertGreater(
            group_membership.planner_settings(nothing).move_cost_seconds, 1000
        )
