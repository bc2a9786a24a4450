"""Test target documents, their expiry and the status of a rollout."""

import asyncio
import types
import unittest

from tamarackthread.control import (
    config_proposer,
    feed_source,
    leadership,
    rollout_status,
    target_documents,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import documents, signal, subtree
from tests import feed_net, test_configuration


class Group:
    """Commit proposals at once, like a leader of one member."""

    term = 1

    def __init__(self, log):
        self.log = log
        self.proposals = 0

    async def propose(self, command):
        await asyncio.sleep(0)
        self.proposals += 1
        self.log.index += 1
        answer = self.log.machine.apply(self.log.index, command)
        return types.SimpleNamespace(result=answer)


class Fixture:
    def __init__(self):
        self.log = test_configuration.Log()
        self.group = Group(self.log)
        propose = config_proposer.ConfigProposer(self.group, float)
        self.writer = target_documents.DocumentWriter('target', propose)
        self.targets = target_documents.TargetDocuments(
            self.log.machine, self.writer
        )
        self.below = subtree.Subtree()

    async def announce(self, incarnation=1, **more):
        announcement = messages.Announcement(
            target='t',
            service_name='s',
            zone='z',
            region='r',
            address='127.0.0.1:1',
            incarnation=incarnation,
            **more,
        )
        await self.targets.announce(announcement, 'agent')

    def stored_target(self):
        found = self.log.machine.documents.get('target', 't')
        return found and documents.parse('target', found.body)

    def add_report(self, node, revision, address='', now=None):
        state = messages.NodeState(
            node,
            messages.Role.AGENT,
            'z',
            revision,
            gone=False,
            incarnation=1,
            address=address,
            lags=False,
        )
        request = messages.FeedRequest(
            nodes=[state],
            whole=True,
            confirmed=revision,
        )
        self.below.apply_report(
            state, request, feed_net.now() if now is None else now
        )


class TargetCase(unittest.TestCase):
    def test_unchanged_announcements_are_not_written(self):
        async def scenario():
            fixture = Fixture()
            for _ in range(5):
                await fixture.announce()
            self.assertEqual(fixture.group.proposals, 1)
            self.assertFalse(fixture.stored_target().leaving)

        feed_net.run_paused(scenario)

    def test_drain_lasts_until_the_agent_restarts(self):
        """Announcements do not undo a drain; a restart of the agent does.

        A late leave announcement of the old process does not drain the new one.
        """

        async def scenario():
            fixture = Fixture()
            await fixture.announce()
            await fixture.targets.drain(
                messages.DrainRequest('t', 'anna'), 'op'
            )
            await fixture.announce()
            self.assertTrue(fixture.stored_target().leaving)
            await fixture.announce(incarnation=2)
            self.assertFalse(fixture.stored_target().leaving)
            await fixture.announce(incarnation=1, leaving=True)
            self.assertFalse(fixture.stored_target().leaving)
            with self.assertRaises(target_documents.TargetUnknown):
                await fixture.targets.drain(messages.DrainRequest('x'), 'op')

        feed_net.run_paused(scenario)

    def test_target_without_an_agent_is_deleted(self):
        """A target whose agent left the feed is deleted after a timeout."""

        async def scenario():
            fixture = Fixture()
            await fixture.announce()
            sweep = target_documents.LivenessSweep(
                fixture.log.machine,
                fixture.below,
                fixture.writer,
                'target',
                5,
            )
            fixture.add_report('agent', 1, '127.0.0.1:1')
            for _ in range(7):
                self.assertIsNotNone(fixture.stored_target())
                await sweep.sweep()
                await asyncio.sleep(1)
            await asyncio.sleep(3)
            await sweep.sweep()
            self.assertIsNone(fixture.stored_target())

        feed_net.run_paused(scenario)

    def test_invalid_announcement_is_refused(self):
        async def scenario():
            with self.assertRaises(target_documents.AnnouncementInvalid):
                await Fixture().announce(ranks=-1)

        feed_net.run_paused(scenario)


class StatusCase(unittest.TestCase):
    def test_in_force_once_confirmed_or_lapsed(self):
        """A change is not reported in force while an older lease may run.

        One node confirms the change, the other stays silent.
        """

        async def scenario():
            fixture = Fixture()
            upstream = types.SimpleNamespace(changed=signal.Signal())
            origin = feed_source.ControlSource(
                leadership.Leadership(fixture.group),
                fixture.log.machine,
                upstream,
                feed_net.LEASE_SECONDS,
            )

            def build():
                return rollout_status.build(1, 1, fixture.below, origin, -10)

            fixture.add_report('one', 0)
            fixture.add_report('two', 0)
            fixture.log.change('p', 0)
            self.assertFalse(build().in_force_everywhere)
            fixture.add_report('one', 1)
            reply = build()
            self.assertEqual((reply.nodes, reply.in_force), (2, 1))
            self.assertEqual([node.node for node in reply.laggards], ['two'])
            self.assertGreaterEqual(reply.waiting_ms, 2000)
            await asyncio.sleep(origin.max_lease_seconds + 0.01)
            reply = build()
            self.assertTrue(reply.in_force_everywhere)
            self.assertEqual(len(reply.laggards), 1)
            fixture.add_report('two', 1)
            self.assertEqual(build().in_force, 2)

        feed_net.run_paused(scenario)

    def test_new_leader_does_not_know_all_nodes(self):
        async def scenario():
            fixture = Fixture()
            upstream = types.SimpleNamespace(changed=signal.Signal())
            origin = feed_source.ControlSource(
                leadership.Leadership(fixture.group),
                fixture.log.machine,
                upstream,
                feed_net.LEASE_SECONDS,
            )
            fixture.log.change('p', 0)
            fixture.add_report('one', 1)
            now = feed_net.now()
            reply = rollout_status.build(1, 1, fixture.below, origin, now)
            self.assertFalse(reply.in_force_everywhere)
            self.assertGreater(reply.waiting_ms, 0)

        feed_net.run_paused(scenario)
