"""Test that poison calls are detected and other calls aren't."""

import asyncio
import random
import unittest
from unittest import mock

import attrs

from tamarackthread.control.site import loads
from tamarackthread.entry.direct import failures as refusals
from tamarackthread.entry.direct import (
    call_marks,
    call_progress,
    instances,
    load_exchange,
    poison_requests,
    target_client,
    target_probe,
)
from tamarackthread.policy import crash_records, poison_calls
from tamarackthread.shared import errors
from tamarackthread.shared.site import announcements, configuration
from tests import direct_case, policy_case, test_admission_control
from tests import test_load_exchange as shared_calls

POISON = b'b'
ORDINARY = b'g'
ALLOWED = poison_calls.Verdict.ALLOWED
NO_RETRY = poison_calls.Verdict.NO_RETRY
REFUSED = poison_calls.Verdict.REFUSED
ATTRIBUTION_SECONDS = poison_calls.CORRELATED_LOSS_SECONDS
SEED = 9
ENTRIES = 6
# Of a call that has had nothing of its answer.
PROGRESS = call_progress.CallProgress()


def lose(known, mark, start, now):
    """Record that a target instance crashed while it ran a call."""
    known.records.record(
        crash_records.Crash(
            start=start,
            suspects=(crash_records.Suspect(mark, crash_records.CALL_DEPTH),),
        ),
        now,
    )


def answer(known, mark, now):
    known.records.record_answer('', (mark,), crash_records.Reach.WHOLE, now)


class AttributionCase(unittest.TestCase):
    """Test the attribution of lost targets to calls."""

    def setUp(self):
        self.known = poison_calls.PoisonCalls()

    def verdict(self, mark, now):
        return self.known.verdict((mark,), now)

    def test_three_targets(self):
        """Guards against a poison call that crashes a fourth target."""
        found = []
        for number in range(3):
            lose(self.known, POISON, f't{number}', 10.0 * number)
            found.append(
                self.verdict(POISON, 10.0 * number + ATTRIBUTION_SECONDS)
            )
        self.assertEqual([ALLOWED, NO_RETRY, REFUSED], found)

    def test_ordinary_call_on_same_target(self):
        """Guards against blaming an ordinary call on the crashed target."""
        for number in range(3):
            moment = 10.0 * number
            lose(self.known, POISON, f't{number}', moment)
            lose(self.known, ORDINARY, f't{number}', moment)
            answer(self.known, ORDINARY, moment + 1)
            self.assertEqual(ALLOWED, self.verdict(ORDINARY, moment + 2))
        self.assertEqual(REFUSED, self.verdict(POISON, 30))

    def test_lost_together(self):
        """Guards against blaming a call for power failures of its zone."""
        for number in range(3):
            for target in range(poison_calls.CORRELATED_LOSS_TARGETS):
                mark = POISON if target == 0 else bytes([target])
                lose(self.known, mark, f't{number}-{target}', 10.0 * number)
        self.assertEqual(ALLOWED, self.verdict(POISON, 21))

    def test_failing_target(self):
        """Guards against blaming a call for a target that drops connections."""
        for number in range(9):
            lose(self.known, POISON, 't0', 10.0 * number)
        self.assertEqual(ALLOWED, self.verdict(POISON, 90))

    def test_forgotten(self):
        """Guards against refusing a call for ever."""
        for number in range(3):
            lose(self.known, POISON, f't{number}', 10.0 * number)
        self.assertEqual(REFUSED, self.verdict(POISON, 21))
        later = 20 + crash_records.HISTORY_TTL_SECONDS + 1
        self.assertEqual(ALLOWED, self.verdict(POISON, later))
        self.assertFalse(self.known.records)

    def test_kept_while_refused(self):
        """Guards against another three crashes whenever a minute has passed."""
        for number in range(3):
            lose(self.known, POISON, f't{number}', 10.0 * number)
        now = 20.0
        for _ in range(10):
            now += 0.9 * crash_records.HISTORY_TTL_SECONDS
            finding = self.known.worst((POISON,), now)
            self.assertEqual(REFUSED, finding.verdict)
            starts = [crash.start for crash in finding.crashes]
            self.known.records.record_use(starts, now)

    def test_bounded(self):
        """Guards against unbounded memory."""
        for number in range(10 * crash_records.MAX_CRASHES):
            mark = number.to_bytes(4)
            lose(self.known, mark, f't{number}', number / 100)
            lose(self.known, mark, 't0', number / 100)
        crashes = self.known.records.crashes(13)
        self.assertLessEqual(len(crashes), crash_records.MAX_CRASHES)
        for crash in crashes:
            self.assertLessEqual(
                len(crash.suspects), crash_records.MAX_SUSPECTS
            )

    def test_ordinary_losses(self):
        """Guards against refusing ordinary calls for random crashes."""
        generator = random.Random(SEED)
        now = 0.0
        for number in range(3000):
            now += 0.05
            mark = number.to_bytes(4)
            while generator.random() < 0.03:
                start = f't{generator.randrange(60)}/{int(now)}'
                lose(self.known, mark, start, now)
                now += 0.3
                self.assertNotEqual(REFUSED, self.verdict(mark, now))
            answer(self.known, mark, now)


def start_of(name):
    said = announcements.Announcement(
        target=name,
        service=test_admission_control.SERVICE,
        address=f'{name}:80',
    )
    return instances.TargetInstance(said, 0)


class Entry:
    """A simulated entry that exchanges histories with others."""

    def __init__(self, name, hosts):
        self.crashing = poison_requests.PoisonRequests(
            name, lambda target: False, _is_gone
        )
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


class CountingLoads(loads.Loads):
    """Count the histories sent in either direction."""

    def __init__(self, epoch):
        super().__init__(epoch)
        self.rows = 0

    def answer(self, entry, asked):
        reply = super().answer(entry, asked)
        self.rows += len(asked.crashes or ()) + len(reply.crashes or ())
        return reply


class SharedCase(policy_case.PausedCase):
    def test_any_entry(self):
        """Guards against entries that each detect a poison call alone."""
        self.run_paused(self._any())

    def test_lost_host(self):
        """Guards against losing histories with the host that merges them."""
        self.run_paused(self._lost_host())

    def test_restarted_entries(self):
        """Guards against losing histories with the entries that saw them."""
        self.run_paused(self._restarted())

    def test_forgotten_by_all(self):
        """Guards against histories kept alive by the exchange itself."""
        self.run_paused(self._forgotten())

    def test_sent_once(self):
        """Guards against sending unchanged histories with every exchange."""
        self.run_paused(self._sent_once())

    def test_restarted_host(self):
        """Guards against missing histories after the merging host restarts."""
        self.run_paused(self._restarted_host())

    def test_answered_elsewhere(self):
        """Guards against refusing a call that another entry saw answered."""
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
        for _ in range(int(2 * crash_records.HISTORY_TTL_SECONDS)):
            await asyncio.sleep(1)
            await _exchange(entries)
        for entry in entries:
            entry.crashing.check(call)
            self.assertEqual([], entry.crashing.changed_rows())

    async def _sent_once(self):
        hosts = {'h0': CountingLoads(1)}
        entries = await self._crashed(hosts)
        await _exchange(entries)
        hosts['h0'].rows = 0
        for _ in range(20):
            await _exchange(entries)
        self.assertEqual(0, hosts['h0'].rows)

    async def _restarted_host(self):
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
        entries[-1].crashing.note_whole(call)
        await _exchange(entries)
        for entry in entries:
            entry.crashing.check(call)

    async def _crashed(self, hosts):
        entries = [Entry(f'e{number}', hosts) for number in range(ENTRIES)]
        call = test_admission_control.call_of()
        lost = target_client.Unanswered('closed')
        for number, entry in enumerate(entries[:3]):
            entry.crashing.check(call)
            entry.crashing.note_failure(
                call, start_of(f't{number}'), PROGRESS, lost
            )
            await asyncio.sleep(1)
            await _exchange(entries)
        return entries


class FingerprintCase(policy_case.PausedCase):
    def test_same_call(self):
        """Guards against a fingerprint that depends on the call id."""
        self.run_paused(self._same())

    def test_bytes_that_are_no_text(self):
        """Guards against a call whose head can't be hashed and so is broken."""
        self.run_paused(self._undecodable())

    async def _undecodable(self):
        call = test_admission_control.call_of()
        request = attrs.evolve(
            call.request, path='/\udcff', shared_parts=('\udcfe', 'x' * 99)
        )
        marks = call_marks.of(attrs.evolve(call, request=request))
        self.assertEqual(3, len(set(marks)))
        for mark in marks:
            call_marks.describe(mark).encode()

    async def _same(self):
        call = test_admission_control.call_of(call_id='one')
        again = test_admission_control.call_of(call_id='two')
        self.assertEqual(
            call_marks.fingerprint(call),
            call_marks.fingerprint(again),
        )
        other = _with_body(again, b'another')
        self.assertNotEqual(
            call_marks.fingerprint(call),
            call_marks.fingerprint(other),
        )


class RowCase(unittest.TestCase):
    def test_malformed_rows(self):
        """Guards against a row of another process that breaks the records."""
        crash = crash_records.Crash(
            start='t1/0', suspects=(crash_records.Suspect(POISON),)
        )
        row = crash_records.to_message(crash)
        self.assertEqual(
            crash.suspects, crash_records.from_message(row).suspects
        )
        for field, wrong in (
            ('lost_ms', -1),
            ('used_ms', None),
            ('suspects', None),
        ):
            with self.subTest(field=field):
                row = crash_records.to_message(crash)
                setattr(row, field, wrong)
                with self.assertRaisesRegex(errors.FrameInvalid, 't1/0'):
                    crash_records.from_message(row)
        row = crash_records.to_message(crash)
        row.suspects[0].reach = 7
        with self.assertRaisesRegex(errors.FrameInvalid, 't1/0'):
            crash_records.from_message(row)


class ProbeCase(unittest.IsolatedAsyncioTestCase):
    async def test_silent_address(self):
        """Guards against a crash seen by an entry that has no time to look."""
        server = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        host, port = server.sockets[0].getsockname()
        address = f'{host}:{port}'
        self.assertFalse(await target_probe.is_gone(address))
        with mock.patch.object(target_probe, 'PROBE_SECONDS', -1):
            self.assertFalse(await target_probe.is_gone(address))
        server.close()
        await server.wait_closed()
        self.assertTrue(await target_probe.is_gone(address))


class CallerCase(direct_case.DirectCase):
    async def test_crash_after_the_head(self):
        """Guards against a poison call whose target crashes after its head."""
        self.serve(configuration.RouteKind.IDEMPOTENT)
        for _ in range(9):
            await self.add(direct_case.crashing_after_head)
        with mock.patch.object(poison_calls, 'CORRELATED_LOSS_SECONDS', 0):
            for _ in range(5):
                status, body, _ = await self.ask(body=b'bad')
                await self.crashing.probed()
        self.assertEqual(503, status)
        self.assertIn(b'TT7213', body)
        arrived = sum(len(fake.heads) for fake in self.fakes)
        self.assertEqual(poison_calls.REFUSED_LOSSES, arrived)

    async def test_target_that_goes_on(self):
        """Guards against blaming calls that a lost rank of the group cut."""
        self.serve(configuration.RouteKind.ONCE)
        for _ in range(5):
            await self.add(direct_case.dropping)
        for _ in range(5):
            status, _, _ = await self.ask(body=b'good')
            self.assertEqual(502, status)
            await self.crashing.probed()
        self.assertEqual([], self.crashing.changed_rows())

    async def test_failure_clears_nothing(self):
        """Guards against targets that fail calls unrun and so clear them."""
        self.serve(configuration.RouteKind.ONCE)
        await self._crash_on_bad()
        await self.add(direct_case.whole('no', '500 Failed'))
        status, _, _ = await self.ask(body=b'bad')
        self.assertEqual(500, status)
        rows = self.crashing.changed_rows()
        self.assertEqual(1, len(rows))
        for suspect in rows[0].suspects:
            self.assertFalse(suspect.is_cleared)

    async def test_target_that_restarts_at_once(self):
        """Guards against a crash that a new start at the address hides."""
        self.serve(configuration.RouteKind.ONCE)
        fake = await self.add(direct_case.dropping)
        await self.ask(body=b'bad')
        await self.crashing.probed()
        self.assertEqual([], self.crashing.changed_rows())
        ended = self.known.get(fake.name)
        self.known.take(
            attrs.evolve(ended.announcement, target='another', born=1)
        )
        starts = [row.start for row in self.crashing.changed_rows()]
        self.assertEqual([f'{fake.name}/0'], starts)

    async def test_refused_unrun(self):
        """Guards against sending a known poison call to one more target."""
        self.serve(configuration.RouteKind.ONCE)
        await self._crash_on_bad()
        await self._crash_on_bad()
        # Attributes the losses without waiting for correlated ones.
        with mock.patch.object(poison_calls, 'CORRELATED_LOSS_SECONDS', 0):
            rows = self.crashing.changed_rows()
            self.assertEqual(2, len(rows))
            rows[0].start = 't9'
            self.crashing.learn_rows(rows[:1])
            await self._refuse_bad()

    async def _crash_on_bad(self):
        fake = await self.add(direct_case.crashing)
        status, _, _ = await self.ask(body=b'bad')
        self.assertEqual(502, status)
        await self.crashing.probed()
        self.known.get(fake.name).back_off(asyncio.get_running_loop().time())

    async def _refuse_bad(self):
        sound = await self.add(direct_case.whole('yes'))
        status, body, headers = await self.ask(body=b'bad')
        self.assertEqual(503, status)
        self.assertIn(b'TT7213', body)
        self.assertGreater(float(headers['Retry-After']), 1)
        self.assertEqual([], sound.heads)
        status, _, _ = await self.ask(body=b'good')
        self.assertEqual(200, status)


async def _is_gone(address):
    return True


def _with_body(call, body):
    return attrs.evolve(call, body=body)


async def _exchange(entries):
    for _ in range(2):
        for entry in entries:
            await entry.sharing.exchange()
