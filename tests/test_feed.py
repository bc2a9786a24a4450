"""Check that no node acts on a stale configuration."""

import asyncio
import functools
import unittest

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import catalogue, leased_catalogue
from tests import feed_net


def paused(scenario):
    @functools.wraps(scenario)
    def test(self):
        feed_net.run_paused(lambda: scenario(self))

    return test


class FeedCase(unittest.TestCase):
    @paused
    async def test_tree_confirms_and_counts(self):
        net = feed_net.Net()
        limits = feed_net.feed_server.Limits(children=4, children_in_zone=2)
        net.serve('leader', net.leader, net.descendants, limits)
        net.leader.commit(1)
        nodes = []
        for number in range(12):
            nodes.append(net.node(f'n{number}', address=f'a{number}'))
            nodes[-1].start()
            await asyncio.sleep(0.01)
        await asyncio.sleep(5)
        self.assertEqual(net.descendants.count(), 2)
        self.assertTrue(all(node.is_ready() for node in nodes))
        net.leader.commit(2)
        await asyncio.sleep(0.3)
        self.assertEqual({node.revision for node in nodes}, {2})
        states = net.descendants.nodes()
        self.assertEqual(len(states), 12)
        self.assertEqual({state.revision for state in states.values()}, {2})

    @paused
    async def test_redirect_omits_lost_relays(self):
        """A redirect never leads to a relay that was just lost: nodes would
        retry it until their leases expire.
        """
        net = feed_net.Net()
        limits = feed_net.feed_server.Limits(children=4, children_in_zone=2)
        net.serve('leader', net.leader, net.descendants, limits)
        net.leader.commit(1)
        nodes = []
        for number in range(6):
            nodes.append(net.node(f'n{number}', address=f'a{number}'))
            nodes[-1].start()
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        for number in (0, 1):
            net.dead.add(f'n{number}')
            net.servers.pop(f'a{number}')
            net.cut |= {(f'a{number}', '*'), (f'n{number}', '*')}
        for _ in range(500):
            await asyncio.sleep(0.01)
            self.assertTrue(all(node.is_ready() for node in nodes[2:]))

    @paused
    async def test_isolated_node_stops_within_the_lease(self):
        """An isolated entry stops accepting calls at most one lease time after a
        change; later it would act on a stale configuration.
        """
        net = feed_net.Net()
        net.leader.commit(1)
        node = net.node('n')
        node.start()
        await node.wait_ready()
        net.cut.add(('n', '*'))
        net.leader.commit(2)
        accepted = feed_net.now()
        while node.is_ready():
            await asyncio.sleep(0.01)
        self.assertEqual(node.revision, 1)
        self.assertLessEqual(
            feed_net.now() - accepted, feed_net.LEASE_SECONDS + 0.02
        )

    @paused
    async def test_isolated_relay_shortens_its_childrens_leases(self):
        """A child's lease ends with that of its isolated relay; otherwise each
        level of the tree would prolong the stale configuration.
        """
        net = feed_net.Net()
        net.leader.commit(1)
        relay = net.node('upper', address='u')
        child = net.node('lower', control=('u',))
        for node in (relay, child):
            node.start()
            await node.wait_ready()
        await asyncio.sleep(3.3)
        net.cut.add(('upper', '*'))
        net.leader.commit(2)
        accepted = feed_net.now()
        while child.is_ready():
            await asyncio.sleep(0.01)
        self.assertLessEqual(
            feed_net.now() - accepted, feed_net.LEASE_SECONDS + 0.02
        )

    @paused
    async def test_child_leaves_an_isolated_relay_before_expiry(self):
        """A child of an isolated relay selects another parent before its own
        lease expires.
        """
        net = feed_net.Net()
        net.leader.commit(1)
        relay = net.node('upper', address='u')
        child = net.node('lower', control=('u', 'leader'))
        relay.start()
        await relay.wait_ready()
        child.start()
        await child.wait_ready()
        net.cut.add(('upper', '*'))
        for _ in range(500):
            await asyncio.sleep(0.01)
            self.assertTrue(child.is_ready())
        self.assertEqual(child.parent, 'leader')

    @paused
    async def test_one_way_silence_leads_to_another_parent(self):
        """A parent whose replies are lost is left before the lease expires,
        though requests still reach it and no connection is closed.
        """
        net = feed_net.Net()
        net.leader.commit(1)
        net.serve('other', net.leader, net.descendants)
        node = net.node('n', control=('leader', 'other'))
        node.start()
        await node.wait_ready()
        net.cut.add((node.parent, 'n'))
        for _ in range(500):
            await asyncio.sleep(0.01)
            self.assertTrue(node.is_ready())

    @paused
    async def test_restarted_node_never_goes_back(self):
        """A restarted node accepts no lease confirmed before its start: it may
        have applied a newer revision than the relay that grants it.
        """
        net = feed_net.Net()
        net.leader.commit(1)
        stale = net.node('stale', address='s')
        stale.start()
        await stale.wait_ready()
        await asyncio.sleep(0.2)
        net.cut |= {('stale', '*'), ('leader', 'stale')}
        net.leader.commit(2)
        restarted = net.node('n', control=('s',), incarnation=2)
        restarted.start()
        await asyncio.sleep(0.3)
        self.assertEqual(restarted.revision, 1)
        self.assertGreater(restarted.lease_remaining(), 0)
        self.assertFalse(restarted.is_ready())

    @paused
    async def test_leader_without_quorum_grants_no_lease(self):
        """A leader that has lost its quorum grants no leases, so its nodes
        stop accepting work.
        """
        net = feed_net.Net()
        net.leader.commit(1)
        node = net.node('n')
        node.start()
        await node.wait_ready()
        net.leader.grants = False
        net.leader.signal.notify()
        await asyncio.sleep(feed_net.LEASE_SECONDS + 0.01)
        self.assertFalse(node.is_ready())
        net.leader.grants = True
        await asyncio.sleep(1)
        self.assertTrue(node.is_ready())

    @paused
    async def test_silent_node_lags_and_then_times_out(self):
        net = feed_net.Net()
        net.leader.commit(1)
        node = net.node('n')
        node.start()
        await asyncio.sleep(0.1)
        net.cut.add(('n', '*'))
        net.leader.commit(2)
        await asyncio.sleep(1)
        self.assertEqual(net.descendants.nodes()['n'].revision, 1)
        await asyncio.sleep(3)
        net.descendants.expire(feed_net.now())
        self.assertEqual(net.descendants.nodes(), {})


class PagingCase(unittest.TestCase):
    @paused
    async def test_snapshot_is_applied_atomically(self):
        """A snapshot replaces a node's documents only after its last page;
        half a snapshot is never acted on.
        """
        documents = catalogue.Catalogue()
        body = 'x' * (catalogue.PAGE_BYTES // 2)
        documents.replace(
            [
                feed_net.document(f'd{place}', place, body)
                for place in (7, 8, 9)
            ],
            9,
            floor=6,
        )
        node = leased_catalogue.LeasedCatalogue()
        old = feed_net.document('old', 2)
        node.apply_reply(messages.FeedReply(revision=2, documents=[old]), 0)
        pages = 0
        while node.documents.revision < 9:
            self.assertIsNotNone(node.documents.get('profile', 'old'))
            page = documents.after(node.after, node.floor)
            reply = messages.FeedReply(
                revision=page.revision,
                documents=page.documents,
                snapshot=page.snapshot,
                more=page.more,
                floor=page.floor,
            )
            node.apply_reply(reply, 0)
            pages += 1
        self.assertEqual(pages, 3)
        names = [each.name for each in node.documents.each('profile')]
        self.assertEqual(names, ['d7', 'd8', 'd9'])
        self.assertEqual(node.documents.floor, 6)

    @paused
    async def test_forgotten_deletions_lead_to_a_snapshot(self):
        documents = catalogue.Catalogue()
        for revision in range(1, catalogue.DELETIONS_LIMIT + 2):
            documents.put(feed_net.document(f't{revision}', revision, ''))
            documents.advance(revision)
        self.assertFalse(documents.after(documents.floor).snapshot)
        self.assertTrue(documents.after(documents.floor - 1).snapshot)
        self.assertEqual(len(documents), catalogue.DELETIONS_KEPT)
