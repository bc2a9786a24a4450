"""Prove that changes have one winner and that answers outlive leaders."""

import asyncio
import unittest

import xxhash

from tamarackthread.control import configuration, leases, reply_cache
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import portions
from tamarackthread.shared import wire
from tests import feed_net

ACCEPTED = messages.ChangeStatus.ACCEPTED
CONFLICT = messages.ChangeStatus.CONFLICT
INVALID = messages.ChangeStatus.INVALID


class Log:
    """Apply commands to a machine as a log of one member would."""

    def __init__(self):
        self.machine = configuration.Configuration()
        self.index = 0

    def apply(self, **command):
        self.index += 1
        command = messages.ConfigCommand(unix_ms=1, **command)
        answer = self.machine.apply(self.index, wire.encode(command))
        return wire.decode(messages.Reply, answer)

    def change(self, name, based_on, body='{}', **more):
        kind = more.pop('kind', 'profile')
        elapsed_ms = more.pop('elapsed_ms', 0)
        change = messages.ChangeRequest(
            change_id=more.pop('change_id', ''),
            actor=more.pop('actor', 'anna'),
            origin='n',
            kind=kind,
            name=name,
            based_on=based_on,
            body=body,
        )
        return self.apply(change=change, elapsed_ms=elapsed_ms).change

    def restart(self):
        """Go on in another process from a snapshot."""
        state = self.machine.snapshot()
        self.machine = configuration.Configuration()
        self.machine.restore(state)
        return state


class ChangeCase(unittest.TestCase):
    def setUp(self):
        self.log = Log()

    def test_operators_race_with_equal_versions(self):
        """One of two operators with the same version is told of a conflict.

        Both read version 1 and send their change.  The log puts one first;
        the other is shown what is in force now and can compare.
        """
        self.log.change('p', 0, '{"a":1}')
        won = self.log.change('p', 1, '{"a":2}', actor='anna')
        lost = self.log.change('p', 1, '{"a":3}', actor='berta')
        self.assertEqual((won.status, won.version), (ACCEPTED, 2))
        self.assertEqual(lost.status, CONFLICT)
        self.assertEqual(lost.current.body, '{"a":2}')
        outcomes = [
            (record.actor, record.outcome, record.before, record.after)
            for record in self.log.machine.audit_trail.after(1, 10)
        ]
        self.assertEqual(
            outcomes,
            [
                ('anna', 'accepted', '{"a":1}', '{"a":2}'),
                ('berta', 'conflict', '{"a":2}', '{"a":3}'),
            ],
        )

    def test_resend_gets_its_first_answer_after_a_snapshot(self):
        """A change whose answer was lost is not made twice.

        The operator resends it to a new leader that started from a snapshot.
        Others have changed the document since, so that judging it anew would
        say 'conflict' of a change that was accepted.
        """
        first = self.log.change('p', 0, change_id='one')
        refused = self.log.change('p', 7, change_id='two')
        self.log.change('p', 1)
        self.log.restart()
        again = self.log.change('p', 0, change_id='one')
        self.assertTrue(again.repeated)
        self.assertEqual(again.revision, first.revision)
        self.assertEqual(again.version, 1)
        again = self.log.change('p', 7, change_id='two')
        self.assertEqual((again.status, again.repeated), (CONFLICT, True))
        self.assertEqual(again.current, refused.current)
        self.assertEqual(
            self.log.machine.documents.get('profile', 'p').version, 2
        )

    def test_answers_are_kept_for_the_stated_time(self):
        self.log.change('p', 0, change_id='one')
        self.log.change('q', 0, elapsed_ms=reply_cache.RETENTION_MS)
        self.assertTrue(self.log.change('p', 0, change_id='one').repeated)
        late = self.log.change('p', 0, change_id='one', elapsed_ms=1)
        self.assertEqual((late.status, late.repeated), (CONFLICT, False))

    def test_change_id_of_another_change_is_refused(self):
        self.log.change('p', 0, change_id='one')
        reply = self.log.change('q', 0, change_id='one')
        self.assertEqual(reply.status, INVALID)
        self.assertEqual(reply.findings[0].code, reply_cache.REUSED_CODE)
        self.assertIsNone(self.log.machine.documents.get('profile', 'q'))

    def test_refused_attempts_are_in_the_trail(self):
        finding = messages.Finding('$.x', 'TT1', 'unknown')
        change = messages.ChangeRequest(
            'c', 'anna', 'n', 'service', 's', 0, '{"profile":"p"}'
        )
        reply = self.log.apply(change=change, findings=[finding]).change
        codes = [found.code for found in reply.findings]
        self.assertEqual(codes, ['TT1', 'reference-missing'])
        records = self.log.machine.audit_trail.after(0, 10)
        self.assertEqual([kept.outcome for kept in records], ['invalid'])

    def test_profile_in_use_stays(self):
        self.log.change('p', 0)
        self.log.change('s', 0, '{"profile":"p"}', kind='service')
        self.assertEqual(self.log.change('p', 1, '').status, INVALID)
        self.log.change('s', 1, '', kind='service')
        self.assertEqual(self.log.change('p', 1, '').status, ACCEPTED)
        reborn = self.log.change('p', 0)
        self.assertEqual((reborn.status, reborn.version), (ACCEPTED, 3))

    def test_members_with_the_same_log_hold_the_same_bytes(self):
        other = Log()
        for log in (self.log, other):
            log.change('p', 0, '{"a":1}', change_id='x')
            log.change('p', 1, '{"a":2}')
            log.apply(lease=messages.LeaseRequest('g', 'h', 500, 0, False))
            log.apply(
                decision=messages.DecisionRequest('g', 1, 7, 'commit', '')
            )
        state = self.log.restart()
        digest = xxhash.xxh3_64_intdigest
        self.assertEqual(digest(state), digest(other.machine.snapshot()))
        self.assertEqual(state, self.log.machine.snapshot())
        history = self.log.machine.history.versions_of('profile', 'p')
        self.assertEqual([held.body for held in history], ['{"a":1}'])

    def test_nonsense_is_answered(self):
        reply = wire.decode(messages.Reply, self.log.machine.apply(1, b'\xff'))
        self.assertEqual(reply.failure.code, 'TT1004')


class LeaseCase(unittest.TestCase):
    def setUp(self):
        self.log = Log()

    def keeper(self):
        async def propose(request):
            await asyncio.sleep(0.01)
            return self.log.apply(lease=request).lease

        loop = asyncio.get_running_loop()
        made = leases.LeaseManager(
            lambda: self.log.machine.lease_table, propose, loop.time
        )
        made.begin_term()
        return made

    def ask(self, holder, fence=0, release=False):
        return messages.LeaseRequest('g', holder, 1000, fence, release)

    def test_new_leader_waits_out_the_lease(self):
        """No second holder while the first may still act.

        The first holder renews without a log write and the leader is lost.
        The new leader cannot know of the renewal, so it gives the holder a
        whole lease before it grants the next, greater fencing number.
        """

        async def scenario():
            old = self.keeper()
            first = await old.request(self.ask('a'))
            await asyncio.sleep(0.9)
            self.assertTrue((await old.request(self.ask('a', 1))).granted)
            self.log.restart()
            new = self.keeper()
            refused = await new.request(self.ask('b'))
            self.assertFalse(refused.granted)
            self.assertGreater(refused.wait_ms, 990)
            await asyncio.sleep(1.001)
            second = await new.request(self.ask('b'))
            self.assertEqual((first.fence, second.fence), (1, 2))
            self.assertFalse((await new.request(self.ask('a', 1))).granted)

        feed_net.run_paused(scenario)

    def test_renewal_is_refused_while_the_lease_is_handed_over(self):
        """The old holder is not renewed once a hand-over is on its way.

        Its lease ran out and another asked for it.  Until the log has
        answered, both requests stand side by side on the leader.
        """

        async def scenario():
            keeper = self.keeper()
            await keeper.request(self.ask('a'))
            await asyncio.sleep(1.01)
            taking = asyncio.ensure_future(keeper.request(self.ask('b')))
            await asyncio.sleep(0)
            renewal = await keeper.request(self.ask('a', 1))
            self.assertFalse(renewal.granted)
            self.assertTrue((await taking).granted)

        feed_net.run_paused(scenario)

    def test_two_takers_and_a_release(self):
        async def scenario():
            keeper = self.keeper()
            replies = await asyncio.gather(
                keeper.request(self.ask('a')),
                keeper.request(self.ask('b')),
            )
            self.assertEqual(
                [reply.granted for reply in replies], [True, False]
            )
            await keeper.request(self.ask('a', 1, release=True))
            taken = await keeper.request(self.ask('b'))
            self.assertEqual((taken.granted, taken.fence), (True, 2))

        feed_net.run_paused(scenario)

    def test_first_decision_stands(self):
        def decide(fence, decision):
            asked = messages.DecisionRequest('g', fence, 7, decision, '')
            return self.log.apply(decision=asked).decision

        self.log.apply(lease=messages.LeaseRequest('g', 'a', 1000, 0, False))
        self.assertEqual(decide(9, 'commit').decision, '')
        self.assertTrue(decide(1, 'abort').recorded)
        self.log.apply(lease=messages.LeaseRequest('g', 'b', 1000, 1, False))
        later = decide(2, 'commit')
        self.assertEqual((later.decision, later.recorded), ('abort', False))
        self.assertTrue(decide(1, 'abort').recorded)


class PortionCase(unittest.TestCase):
    def test_portions_never_exceed_the_cap(self):
        table = portions.PortionTable(5, began_at=-5)
        first = table.lease('o', 'a', 100, 80, 80, 0)
        self.assertEqual(first, 90)
        self.assertEqual(table.lease('o', 'b', 100, 20, 0, 1), 0)
        shrunk = table.lease('o', 'a', 100, 80, 80, 2)
        self.assertLess(shrunk, first)
        grown = table.lease('o', 'b', 100, 20, 0, 3)
        self.assertLessEqual(shrunk + grown, 90.001)
        self.assertGreater(table.lease('o', 'b', 100, 20, 0, 7.1), grown)

    def test_new_leader_leases_no_more_than_is_used(self):
        table = portions.PortionTable(5, began_at=0)
        self.assertEqual(table.lease('o', 'a', 100, 80, 30, 1), 30)
        self.assertGreater(table.lease('o', 'a', 100, 80, 30, 5), 30)

    def test_safe_shares_fit_into_the_reserve(self):
        safe = portions.safe_share(100, 10) * 10
        self.assertLessEqual(
            safe + sum(portions.split(100, {'a': 1, 'b': 3}).values()), 100.001
        )
