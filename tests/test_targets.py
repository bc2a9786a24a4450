"""Prove that target documents follow what agents announce."""

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
    """Commit at once, as a group of one member that leads."""

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


class Stage:
    def __init__(self):
        self.log = test_configuration.Log()
        self.group = Group(self.log)
        propose = config_proposer.ConfigProposer(self.group, float)
        self.written = target_documents.DocumentWriter('target', propose)
        self.targets = target_documents.TargetDocuments(
            self.log.machine, self.written
        )
        self.below = subtree.Subtree()

    async def announce(self, incarnation=1, **more):
        announced = messages.Announcement(
            target='t',
            service_name='s',
            zone='z',
            region='r',
            address='127.0.0.1:1',
            incarnation=incarnation,
            **more,
        )
        await self.targets.announce(announced, 'agent')

    def held(self):
        found = self.log.machine.documents.get('target', 't')
        return found and documents.parse('target', found.body)

    def hear(self, node, revision, address='', now=None):
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
        self.below.take(state, request, feed_net.now() if now is None else now)


class TargetCase(unittest.TestCase):
    def test_announcements_at_rest_cost_no_write(self):
        async def scenario():
            stage = Stage()
            for _ in range(5):
                await stage.announce()
            self.assertEqual(stage.group.proposals, 1)
            self.assertFalse(stage.held().leaving)

        feed_net.run_paused(scenario)

    def test_drain_holds_until_the_agent_starts_anew(self):
        """A drained target takes no new work while its process runs.

        The agent announces itself again, which must not undo the operator's
        mark.  A late farewell of the old process must not mark the new one.
        """

        async def scenario():
            stage = Stage()
            await stage.announce()
            await stage.targets.drain(messages.DrainRequest('t', 'anna'), 'op')
            await stage.announce()
            self.assertTrue(stage.held().leaving)
            await stage.announce(incarnation=2)
            self.assertFalse(stage.held().leaving)
            await stage.announce(incarnation=1, leaving=True)
            self.assertFalse(stage.held().leaving)
            with self.assertRaises(target_documents.TargetUnknown):
                await stage.targets.drain(messages.DrainRequest('x'), 'op')

        feed_net.run_paused(scenario)

    def test_target_without_an_agent_is_forgotten(self):
        """A target whose host was lost disappears after the stated time.

        Its agent is a node of the feed and stops asking.  Right after an
        election nobody has been heard of, so the time counts from then.
        """

        async def scenario():
            stage = Stage()
            await stage.announce()
            sweep = target_documents.LivenessSweep(
                stage.log.machine,
                stage.below,
                stage.written,
                'target',
                5,
            )
            stage.hear('agent', 1, '127.0.0.1:1')
            for _ in range(7):
                self.assertIsNotNone(stage.held())
                await sweep.sweep()
                await asyncio.sleep(1)
            await asyncio.sleep(3)
            await sweep.sweep()
            self.assertIsNone(stage.held())

        feed_net.run_paused(scenario)

    def test_invalid_announcement_is_refused(self):
        async def scenario():
            with self.assertRaises(target_documents.AnnouncementInvalid):
                await Stage().announce(ranks=-1)

        feed_net.run_paused(scenario)


class StatusCase(unittest.TestCase):
    def test_in_force_once_confirmed_or_lapsed(self):
        """A change is called in force only when no node can act otherwise.

        One node confirms, the other is silent.  Its lease may run for a whole
        lease time after the change; only then does the status say so.
        """

        async def scenario():
            stage = Stage()
            upstream = types.SimpleNamespace(changed=signal.Signal())
            origin = feed_source.ControlSource(
                leadership.Leadership(stage.group),
                stage.log.machine,
                upstream,
                feed_net.LEASE,
            )

            def build():
                return rollout_status.build(1, 1, stage.below, origin, -10)

            stage.hear('one', 0)
            stage.hear('two', 0)
            stage.log.change('p', 0)
            self.assertFalse(build().in_force_everywhere)
            stage.hear('one', 1)
            reply = build()
            self.assertEqual((reply.nodes, reply.in_force), (2, 1))
            self.assertEqual([node.node for node in reply.laggards], ['two'])
            self.assertGreaterEqual(reply.waiting_ms, 2000)
            await asyncio.sleep(origin.max_lease_seconds + 0.01)
            reply = build()
            self.assertTrue(reply.in_force_everywhere)
            self.assertEqual(len(reply.laggards), 1)
            stage.hear('two', 1)
            self.assertEqual(build().in_force, 2)

        feed_net.run_paused(scenario)

    def test_new_leader_does_not_know_all_nodes(self):
        async def scenario():
            stage = Stage()
            upstream = types.SimpleNamespace(changed=signal.Signal())
            origin = feed_source.ControlSource(
                leadership.Leadership(stage.group),
                stage.log.machine,
                upstream,
                feed_net.LEASE,
            )
            stage.log.change('p', 0)
            stage.hear('one', 1)
            now = feed_net.now()
            reply = rollout_status.build(1, 1, stage.below, origin, now)
            self.assertFalse(reply.in_force_everywhere)
            self.assertGreater(reply.waiting_ms, 0)

        feed_net.run_paused(scenario)
