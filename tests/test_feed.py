"""Prove that no node acts on a configuration that was replaced long ago."""

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
        net.serve('leader', net.leader, net.below, limits)
        net.leader.commit(1)
        nodes = []
        for number in range(12):
            nodes.append(net.node(f'n{number}', address=f'a{number}'))
            nodes[-1].start()
            await asyncio.sleep(0.01)
        await asyncio.sleep(5)
        self.assertEqual(net.below.count(), 2)
        self.assertTrue(all(node.is_current() for node in nodes))
        net.leader.commit(2)
        await asyncio.sleep(0.3)
        self.assertEqual({node.revision for node in nodes}, {2})
        known = net.below.nodes()
        self.assertEqual(len(known), 12)
        self.assertEqual({state.revision for state in known.values()}, {2})

    @paused
    async def test_lost_relays_are_not_named(self):
        """Nodes find a way when all relays of their zone are lost at once.

        A rack with the relays goes.  Their children ask the control host,
        which still counts the relays for some seconds; sending the children
        on to those would keep them in circles until their leases end.
        """
        net = feed_net.Net()
        limits = feed_net.feed_server.Limits(children=4, children_in_zone=2)
        net.serve('leader', net.leader, net.below, limits)
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
            self.assertTrue(all(node.is_current() for node in nodes[2:]))

    @paused
    async def test_isolated_node_lapses_within_the_lease(self):
        """An isolated entry stops taking calls at most one lease later.

        A change is accepted just after the entry's way to control is cut.
        Its last lease was granted before the change, so it has ended when
        the leader says that the change is in force.
        """
        net = feed_net.Net()
        net.leader.commit(1)
        node = net.node('n')
        node.start()
        await node.wait_current()
        net.cut.add(('n', '*'))
        net.leader.commit(2)
        accepted = feed_net.now()
        while node.is_current():
            await asyncio.sleep(0.01)
        self.assertEqual(node.revision, 1)
        self.assertLessEqual(feed_net.now() - accepted, feed_net.LEASE + 0.02)

    @paused
    async def test_relay_cut_off_shortens_its_childrens_leases(self):
        """A node below a cut-off relay refuses as early as the relay does.

        The relay still answers its child, and the child knows no other way.
        Were the child's lease counted from the relay's answer alone, each
        level of the tree would serve a replaced profile for longer.
        """
        net = feed_net.Net()
        net.leader.commit(1)
        upper = net.node('upper', address='u')
        lower = net.node('lower', control=('u',))
        for node in (upper, lower):
            node.start()
            await node.wait_current()
        await asyncio.sleep(3.3)
        net.cut.add(('upper', '*'))
        net.leader.commit(2)
        accepted = feed_net.now()
        while lower.is_current():
            await asyncio.sleep(0.01)
        self.assertLessEqual(feed_net.now() - accepted, feed_net.LEASE + 0.02)

    @paused
    async def test_child_leaves_a_cut_off_relay_before_it_lapses(self):
        """Callers notice nothing when a relay loses its parent.

        The relay is cut off and its lease runs down.  Its child sees that
        and asks a control host while it still has a lease of its own.
        """
        net = feed_net.Net()
        net.leader.commit(1)
        upper = net.node('upper', address='u')
        lower = net.node('lower', control=('u', 'leader'))
        upper.start()
        await upper.wait_current()
        lower.start()
        await lower.wait_current()
        net.cut.add(('upper', '*'))
        for _ in range(500):
            await asyncio.sleep(0.01)
            self.assertTrue(lower.is_current())
        self.assertEqual(lower.parent, 'leader')

    @paused
    async def test_one_way_silence_leads_to_another_parent(self):
        """A parent whose answers are lost is left before the lease ends.

        The node's requests arrive, so that the parent counts it as alive;
        nothing comes back, and no connection is ever closed.
        """
        net = feed_net.Net()
        net.leader.commit(1)
        net.serve('other', net.leader, net.below)
        node = net.node('n', control=('leader', 'other'))
        node.start()
        await node.wait_current()
        net.cut.add((node.parent, 'n'))
        for _ in range(500):
            await asyncio.sleep(0.01)
            self.assertTrue(node.is_current())

    @paused
    async def test_restarted_node_never_goes_back(self):
        """A restarted node takes no work at a revision below its former one.

        It held revision 2 and restarts.  A relay that was cut off before
        revision 2 still has some of its lease and answers first.  That lease
        was backed before the start, so the node waits for a newer one.
        """
        net = feed_net.Net()
        net.leader.commit(1)
        stale = net.node('stale', address='s')
        stale.start()
        await stale.wait_current()
        await asyncio.sleep(0.2)
        net.cut |= {('stale', '*'), ('leader', 'stale')}
        net.leader.commit(2)
        again = net.node('n', control=('s',), incarnation=2)
        again.start()
        await asyncio.sleep(0.3)
        self.assertEqual(again.revision, 1)
        self.assertGreater(again.lease_remaining(), 0)
        self.assertFalse(again.is_current())

    @paused
    async def test_old_leader_grants_nothing(self):
        """Nodes on the side of an isolated old leader lapse.

        It answers, but knows by its own clock that it leads no more; what it
        still holds as newest is not given out as current.
        """
        net = feed_net.Net()
        net.leader.commit(1)
        node = net.node('n')
        node.start()
        await node.wait_current()
        net.leader.grants = False
        net.leader.signal.notify()
        await asyncio.sleep(feed_net.LEASE + 0.01)
        self.assertFalse(node.is_current())
        net.leader.grants = True
        await asyncio.sleep(1)
        self.assertTrue(node.is_current())

    @paused
    async def test_silent_node_is_a_laggard_and_then_gone(self):
        net = feed_net.Net()
        net.leader.commit(1)
        node = net.node('n')
        node.start()
        await asyncio.sleep(0.1)
        net.cut.add(('n', '*'))
        net.leader.commit(2)
        await asyncio.sleep(1)
        self.assertEqual(net.below.nodes()['n'].revision, 1)
        await asyncio.sleep(3)
        net.below.expire(feed_net.now())
        self.assertEqual(net.below.nodes(), {})


class PagingCase(unittest.TestCase):
    @paused
    async def test_snapshot_comes_whole_or_not_at_all(self):
        """A node far behind never acts on half a state.

        Documents were deleted and the deletions forgotten, so that the node
        must replace its state; it does so only after the last page.
        """
        held = catalogue.Catalogue()
        body = 'x' * (catalogue.PAGE_BYTES // 2)
        held.replace(
            [
                feed_net.document(f'd{place}', place, body)
                for place in (7, 8, 9)
            ],
            9,
            floor=6,
        )
        node = leased_catalogue.LeasedCatalogue()
        old = feed_net.document('old', 2)
        node.take(messages.FeedReply(revision=2, documents=[old]), 0)
        pages = 0
        while node.documents.revision < 9:
            self.assertIsNotNone(node.documents.get('profile', 'old'))
            page = held.after(node.after, node.floor)
            reply = messages.FeedReply(
                revision=page.revision,
                documents=page.documents,
                snapshot=page.snapshot,
                more=page.more,
                floor=page.floor,
            )
            node.take(reply, 0)
            pages += 1
        self.assertEqual(pages, 3)
        names = [found.name for found in node.documents.each('profile')]
        self.assertEqual(names, ['d7', 'd8', 'd9'])
        self.assertEqual(node.documents.floor, 6)

    @paused
    async def test_forgotten_deletions_lead_to_a_snapshot(self):
        held = catalogue.Catalogue()
        for revision in range(1, catalogue.DELETIONS_LIMIT + 2):
            held.put(feed_net.document(f't{revision}', revision, ''))
            held.advance(revision)
        self.assertFalse(held.after(held.floor).snapshot)
        self.assertTrue(held.after(held.floor - 1).snapshot)
        self.assertEqual(len(held), catalogue.DELETIONS_KEPT)
