"""Prove that a call that crashes targets is known, and others are not taken for it."""

import asyncio
import random
import unittest
from unittest import mock

import attrs

from tamarackthread.control.site import loads
from tamarackthread.entry.direct import failures as refusals
from tamarackthread.entry.direct import (
    instances,
    load_exchange,
    poison_requests,
    target_client,
)
from tamarackthread.policy import poison_calls
from tamarackthread.shared.site import announcements, configuration
from tests import direct_case, policy_case, test_admission_control
from tests import test_load_exchange as shared_calls

BAD = b'b'
GOOD = b'g'
FREE = poison_calls.Verdict.ALLOWED
WATCHED = poison_calls.Verdict.NO_RETRY
REFUSED = poison_calls.Verdict.REFUSED
SETTLED = poison_calls.CORRELATED_LOSS_SECONDS
SEED = 9
ENTRIES = 6


class EvidenceCase(unittest.TestCase):
    """Answer the load in which one call takes down one target after another."""

    def setUp(self):
        self.known = poison_calls.PoisonCalls()

    def test_three_targets(self):
        """The third target that is lost by a call is the last one."""
        found = []
        for number in range(3):
            self.known.record_crash(BAD, f't{number}', 10.0 * number)
            found.append(self.known.verdict(BAD, 10.0 * number + SETTLED))
        self.assertEqual([FREE, WATCHED, REFUSED], found)

    def test_beside_it(self):
        """An ordinary call ran on the same target, and is answered elsewhere."""
        for number in range(3):
            moment = 10.0 * number
            self.known.record_crash(BAD, f't{number}', moment)
            self.known.record_crash(GOOD, f't{number}', moment)
            self.known.record_answer(GOOD, moment + 1)
            self.assertEqual(FREE, self.known.verdict(GOOD, moment + 2))
        self.assertEqual(REFUSED, self.known.verdict(BAD, 30))

    def test_lost_together(self):
        """A zone loses power three times, each time with the same call's target.

        Many targets are lost at once, which tells nothing of any call.
        """
        for number in range(3):
            for target in range(poison_calls.CORRELATED_LOSS_TARGETS):
                mark = BAD if target == 0 else bytes([target])
                self.known.record_crash(
                    mark, f't{number}-{target}', 10.0 * number
                )
        self.assertEqual(FREE, self.known.verdict(BAD, 21))

    def test_failing_target(self):
        """One target drops whatever it gets, and a call is sent there often.

        It has not crashed: it is the same start of it all the while.
        """
        for number in range(9):
            self.known.record_crash(BAD, 't0', 10.0 * number)
        self.assertEqual(FREE, self.known.verdict(BAD, 90))

    def test_forgotten(self):
        """A call is let through after a minute, and known again by its losses."""
        for number in range(3):
            self.known.record_crash(BAD, f't{number}', 10.0 * number)
        later = 20 + poison_calls.HISTORY_TTL_SECONDS + 1
        self.assertEqual(FREE, self.known.verdict(BAD, later))
        self.assertFalse(self.known)

    def test_bounded(self):
        """Calls without end are lost; so many are remembered and no more."""
        for number in range(10 * poison_calls.MAX_CALLS):
            self.known.record_crash(
                number.to_bytes(4), f't{number}', number / 100
            )
        self.assertLessEqual(
            len(self.known.histories(13)), poison_calls.MAX_CALLS
        )

    def test_ordinary_losses(self):
        """Targets crash at random; no call of thousands is refused for it.

        Each call is sent again until it is answered, as its callers do.
        """
        generator = random.Random(SEED)
        now = 0.0
        for number in range(3000):
            now += 0.05
            mark = number.to_bytes(4)
            while generator.random() < 0.03:
                start = f't{generator.randrange(60)}/{int(now)}'
                self.known.record_crash(mark, start, now)
                now += 0.3
                self.assertNotEqual(REFUSED, self.known.verdict(mark, now))
            self.known.record_answer(mark, now)


def start_of(name):
    said = announcements.Announcement(
        target=name,
        service=test_admission_control.SERVICE,
        address=f'{name}:80',
    )
    return instances.TargetInstance(said, 0)


class Entry:
    """Be an entry with its exchange."""

    def __init__(self, name, hosts):
        self.crashing = poison_requests.PoisonRequests()
        known, links, _ = shared_calls.entry_of(name, hosts)
        self.links = links
        self.sharing = load_exchange.LoadExchange(
            known,
            self.links,
            lambda: tuple(hosts),
            lambda: ('e0', 'e1'),
            lambda: None,
            self.crashing,
        )


class Counting(loads.Loads):
    """Count the rows of suspects that go either way."""

    def __init__(self, epoch):
        super().__init__(epoch)
        self.rows = 0

    def answer(self, entry, asked):
        reply = super().answer(entry, asked)
        self.rows += len(asked.suspects or ()) + len(reply.suspects or ())
        return reply


class SharedCase(policy_case.PausedCase):
    def test_any_entry(self):
        """A call crashes a target at each of three entries; the rest refuse it."""
        self.run_paused(self._any())

    def test_lost_host(self):
        """The host that joins what entries know is lost: the next one does."""
        self.run_paused(self._lost_host())

    def test_restarted_entries(self):
        """The entries that have seen the crashes start again; others remember."""
        self.run_paused(self._restarted())

    def test_forgotten_by_all(self):
        """Entries that tell each other of a call don't keep it for ever."""
        self.run_paused(self._forgotten())

    def test_told_once(self):
        """What is known of a call is not sent with each of twenty exchanges a second."""
        self.run_paused(self._told_once())

    def test_host_starts_again(self):
        """The host that joins the rows starts again and is told all anew."""
        self.run_paused(self._host_again())

    def test_answered_elsewhere(self):
        """One entry has an answer to a call: it is refused by none."""
        self.run_paused(self._answered())

    async def _any(self):
        hosts = {'h0': loads.Loads(1)}
        entries = await self._crashed(hosts)
        call = test_admission_control.call_of()
        for entry in entries:
            with self.assertRaises(refusals.CallCrashes):
                entry.crashing.check(call)
        other = test_admission_control.call_of(call_id='other')
        entries[-1].crashing.check(_with_body(other, b'another'))

    async def _lost_host(self):
        hosts = {'h0': loads.Loads(1), 'h1': loads.Loads(2)}
        entries = await self._crashed(hosts)
        for entry in entries:
            entry.links.cut.add('h0')
        await _exchange(entries)
        with self.assertRaises(refusals.CallCrashes):
            entries[-1].crashing.check(test_admission_control.call_of())

    async def _restarted(self):
        hosts = {'h0': loads.Loads(1)}
        entries = await self._crashed(hosts)
        for number in range(3):
            entries[number] = Entry(f'e{number}', hosts)
        await _exchange(entries)
        for entry in entries:
            with self.assertRaises(refusals.CallCrashes):
                entry.crashing.check(test_admission_control.call_of())

    async def _forgotten(self):
        entries = await self._crashed({'h0': loads.Loads(1)})
        call = test_admission_control.call_of()
        for _ in range(int(2 * poison_calls.HISTORY_TTL_SECONDS)):
            await asyncio.sleep(1)
            await _exchange(entries)
        for entry in entries:
            entry.crashing.check(call)
            self.assertEqual([], entry.crashing.own_rows())

    async def _told_once(self):
        hosts = {'h0': Counting(1)}
        entries = await self._crashed(hosts)
        await _exchange(entries)
        hosts['h0'].rows = 0
        for _ in range(20):
            await _exchange(entries)
        self.assertEqual(0, hosts['h0'].rows)

    async def _host_again(self):
        hosts = {'h0': loads.Loads(1)}
        entries = await self._crashed(hosts)
        hosts['h0'] = loads.Loads(2)
        entries.append(Entry('new', hosts))
        await _exchange(entries)
        await _exchange(entries)
        with self.assertRaises(refusals.CallCrashes):
            entries[-1].crashing.check(test_admission_control.call_of())

    async def _answered(self):
        entries = await self._crashed({'h0': loads.Loads(1)})
        call = test_admission_control.call_of()
        entries[-1].crashing.note_answer(call)
        await _exchange(entries)
        for entry in entries:
            entry.crashing.check(call)

    async def _crashed(self, hosts):
        entries = [Entry(f'e{number}', hosts) for number in range(ENTRIES)]
        call = test_admission_control.call_of()
        lost = target_client.Unanswered('closed')
        for number, entry in enumerate(entries[:3]):
            entry.crashing.check(call)
            entry.crashing.note_failure(call, start_of(f't{number}'), lost)
            await asyncio.sleep(1)
            await _exchange(entries)
        return entries


class MarkCase(policy_case.PausedCase):
    def test_what_is_the_same(self):
        """The same caller, path and body make the same call, whatever its id."""
        self.run_paused(self._same())

    async def _same(self):
        call = test_admission_control.call_of(call_id='one')
        again = test_admission_control.call_of(call_id='two')
        self.assertEqual(
            poison_requests.fingerprint(call),
            poison_requests.fingerprint(again),
        )
        other = _with_body(again, b'another')
        self.assertNotEqual(
            poison_requests.fingerprint(call),
            poison_requests.fingerprint(other),
        )


class CallerCase(direct_case.DirectCase):
    async def test_refused_unrun(self):
        """The caller of a call that has crashed three targets is told so.

        It is told that the call did not run, and no further target sees it; the
        call of another caller is answered.
        """
        self.serve(configuration.RouteKind.ONCE)
        fake = await self.add(direct_case.dropping)
        status, _, _ = await self.ask(body=b'bad')
        self.assertEqual(502, status)
        fake.close()
        # What was lost with it is known at once, so that the loss counts.
        with mock.patch.object(poison_calls, 'CORRELATED_LOSS_SECONDS', 0):
            rows = self.crashing.own_rows()
        self.assertEqual(1, len(rows))
        rows[0].starts = ['t7', 't8', 't9']
        self.crashing.set_shared_rows(rows)
        sound = await self.add(direct_case.whole('yes'))
        status, body, headers = await self.ask(body=b'bad')
        self.assertEqual(503, status)
        self.assertIn(b'TT7213', body)
        self.assertGreater(float(headers['Retry-After']), 1)
        self.assertEqual([], sound.heads)
        self.known.get(fake.name).back_off(asyncio.get_running_loop().time())
        status, _, _ = await self.ask(body=b'good')
        self.assertEqual(200, status)


def _with_body(call, body):
    return attrs.evolve(call, body=body)


async def _exchange(entries):
    for _ in range(2):
        for entry in entries:
            await entry.sharing.exchange()
