"""Test what callers get from an entry with direct calls."""

import asyncio
from unittest import mock

import aiohttp
import attrs

from tamarackthread.entry.direct import failures, routing_table
from tamarackthread.shared.site import configuration
from tests import direct_case


class AnswersCase(direct_case.DirectCase):
    async def test_key_is_not_forwarded(self):
        """A target gets the organisation of a call but never the API key."""
        self.serve(direct_case.ONCE)
        fake = await self.add(direct_case.whole('yes'))
        status, body, headers = await self.ask(Tenant='forged')
        self.assertEqual((200, b'yes'), (status, body))
        self.assertEqual('s.t1', headers['Response-Signature'])
        self.assertNotIn('secret', fake.heads[0])
        self.assertEqual('org', direct_case.header(fake.heads[0], 'Tenant'))
        self.assertEqual(
            't1', direct_case.header(fake.heads[0], 'Expect-Replica')
        )
        self.assertLessEqual(
            int(direct_case.header(fake.heads[0], 'Deadline-Ms')), 4000
        )

    async def test_no_configuration_is_not_a_missing_route(self):
        """An entry without a configuration answers 503 and not 404."""
        refused = await self.ask(left='100')
        self.assertEqual(503, refused[0])
        self.serve(direct_case.ONCE)
        self.assertEqual(404, (await self.ask('/c/'))[0])
        self.assertEqual(401, (await self.ask(key='wrong'))[0])

    async def test_reset_does_not_end_an_answer(self):
        """A reset doesn't count as the end of an answer without a length."""
        self.serve(direct_case.ONCE)
        await self.add(direct_case.resetting_unframed)
        self.assertEqual(502, (await self.ask())[0])

    async def test_answer_without_a_length(self):
        """An answer without a length ends with its connection."""
        self.serve(direct_case.ONCE)
        await self.add(direct_case.ending_unframed)
        self.assertEqual((200, b'all of it'), (await self.ask())[:2])

    async def test_mismatched_answer_is_not_relayed(self):
        """An answer to another call is not relayed, nor the call retried."""
        self.serve(direct_case.ONCE)
        await self.add(direct_case.answering_another)
        self.assertEqual(502, (await self.ask())[0])


class LimitsCase(direct_case.DirectCase):
    async def test_long_body_and_header(self):
        """The defaults of aiohttp don't refuse long bodies and headers."""
        self.serve(direct_case.ONCE)
        await self.add(direct_case.measuring)
        long = {'X-Note': 'n' * 12_000}
        answer = await self.ask(body=b'b' * (3 << 20), **long)
        self.assertEqual((200, str(3 << 20).encode()), answer[:2])

    async def test_body_over_the_limit(self):
        """A body over the configured limit is refused and sent nowhere."""
        self.serve(direct_case.ONCE)
        fake = await self.add(direct_case.measuring)
        answer = await self.ask(body=b'b' * (5 << 20))
        self.assertEqual(413, answer[0])
        self.assertEqual([], fake.heads)


class StartCase(direct_case.DirectCase):
    async def test_waits_for_configuration_and_targets(self):
        """A call waits for the configuration and targets of a new entry."""
        asking = asyncio.create_task(self.ask())
        while not self.front.open_calls:
            await asyncio.sleep(0)
        self.serve(direct_case.ONCE)
        await asyncio.sleep(0)
        await self.add(direct_case.whole('yes'))
        self.assertEqual((200, b'yes'), (await asking)[:2])

    async def test_waits_for_second_target(self):
        """A call refused by the first known target waits for another one."""
        self.serve(direct_case.STREAM, is_resumable=True)
        full = await self.add(direct_case.refusing)
        asking = asyncio.create_task(self.ask())
        while not full.heads:
            await asyncio.sleep(0)
        await self.add(direct_case.streaming(1, 2, is_whole=True))
        self.assertEqual(200, (await asking)[0])

    async def test_first_target_is_not_crowded(self):
        """During discovery, a target gets one call and the next call waits."""
        self.serve(direct_case.STREAM, is_resumable=True)
        first = await self.add(direct_case.silent)
        waiting = asyncio.create_task(self.ask())
        while not first.heads:
            await asyncio.sleep(0)
        asking = asyncio.create_task(self.ask())
        while self.front.open_calls < 2:
            await asyncio.sleep(0)
        await self.add(direct_case.streaming(1, 2, is_whole=True))
        self.assertEqual(200, (await asking)[0])
        self.assertEqual(1, len(first.heads))
        waiting.cancel()


class SlowRankCase(direct_case.DirectCase):
    """Route around ranks that slow their whole group."""

    async def test_slow_rank_gets_no_call(self):
        """A slow rank gets no calls, however busy the others are."""
        self.serve(direct_case.ONCE)
        for _ in range(4):
            await self.add(direct_case.whole('yes'))
        self.known.set_paces('c', {'t2': 3.0})
        for name in ('t1', 't3', 't4'):
            self.known.get(name).own_calls = 5
        self.assertNotEqual('t2', self.known.choose('s', ()).name)

    async def test_many_slow_ranks_share(self):
        """If most ranks are slow, they get calls as well."""
        self.serve(direct_case.ONCE)
        for _ in range(4):
            await self.add(direct_case.whole('yes'))
        self.known.set_paces('c', dict.fromkeys(('t1', 't2', 't3'), 2.0))
        self.known.get('t4').own_calls = 2
        self.assertNotEqual('t4', self.known.choose('s', ()).name)


class TriesCase(direct_case.DirectCase):
    async def test_lost_answer_is_not_tried_again(self):
        """A call that must not repeat and may have run is not retried."""
        self.serve(direct_case.ONCE)
        first = await self.add(direct_case.dropping)
        second = await self.add(direct_case.whole('yes'), zone='far')
        self.assertEqual(502, (await self.ask())[0])
        self.assertEqual((1, 0), (len(first.heads), len(second.heads)))

    async def test_silent_target_is_named(self):
        """A timeout names the target that had the call."""
        self.serve(direct_case.ONCE)
        await self.add(direct_case.silent)
        logged = self.enterContext(self.assertLogs('tamarackthread.entry'))
        status, body, _ = await self.ask(left='800')
        self.assertEqual(504, status)
        self.assertIn(b't1', body)
        tries = [row for row in logged.records if row.event == 'try_failed']
        self.assertEqual(['t1'], [row.fields['target'] for row in tries])

    async def test_library_does_not_repeat(self):
        """aiohttp doesn't resend a request to the same target on its own."""
        self.serve(direct_case.IDEMPOTENT)
        first = await self.add(direct_case.dropping)
        second = await self.add(direct_case.whole('yes'), zone='far')
        self.assertEqual(200, (await self.ask(method='GET'))[0])
        self.assertEqual((1, 1), (len(first.heads), len(second.heads)))

    async def test_no_room_for_second_try(self):
        """Guards against a call that may have run, answered as not run."""
        self.serve(direct_case.IDEMPOTENT)
        await self.add(direct_case.dropping)
        other = await self.add(direct_case.whole('yes'), zone='far')
        full = mock.AsyncMock(side_effect=(None, failures.NoRoomInTime()))
        with mock.patch.object(self.admission, 'admit', full):
            self.assertEqual(502, (await self.ask())[0])
        self.assertEqual([], other.heads)

    async def test_refused_unrun(self):
        """A call that all targets refuse gets 503 with Retry-After."""
        self.serve(direct_case.ONCE)
        await self.add(direct_case.refusing)
        await self.add(direct_case.refusing)
        status, _, headers = await self.ask()
        self.assertEqual(503, status)
        self.assertGreater(float(headers['Retry-After']), 0)

    async def test_refused_by_one_target(self):
        """A call that may run once goes to another target after a refusal."""
        self.serve(direct_case.ONCE, attempts=1)
        full = await self.add(direct_case.refusing)
        sound = await self.add(direct_case.whole('yes'), zone='far')
        self.assertEqual((200, b'yes'), (await self.ask())[:2])
        self.assertEqual((1, 1), (len(full.heads), len(sound.heads)))

    async def test_refused_by_all(self):
        """After two refusals the third target is not tried."""
        self.serve(direct_case.ONCE, attempts=1)
        fakes = [await self.add(direct_case.refusing) for _ in range(3)]
        self.assertEqual(503, (await self.ask())[0])
        self.assertEqual(2, sum(len(fake.heads) for fake in fakes))

    async def test_unreachable_target(self):
        """A call goes to another target after a failed connection."""
        self.serve(direct_case.ONCE, attempts=1)
        gone = await self.add(direct_case.whole('no'))
        gone.close()
        await self.add(direct_case.whole('yes'), zone='far')
        self.assertEqual((200, b'yes'), (await self.ask())[:2])

    async def test_misdirected_call(self):
        """A misdirected call goes on to another target, as it has not run."""
        self.serve(direct_case.ONCE, attempts=1)

        async def another(target, head, writer):
            writer.write(
                b'HTTP/1.1 421 No\r\nReplica-Id: x\r\nContent-Length: 0\r\n\r\n'
            )

        gone = await self.add(another)
        await self.add(direct_case.whole('yes'), zone='far')
        self.assertEqual((200, b'yes'), (await self.ask())[:2])
        self.assertEqual((200, b'yes'), (await self.ask())[:2])
        self.assertEqual(1, len(gone.heads))

    async def test_condition_of_a_caller(self):
        """Guards against a caller who shuts targets out for all others."""
        self.serve(direct_case.ONCE, attempts=1)

        async def strict(target, head, writer):
            if direct_case.header(head, 'Expect-Version'):
                writer.write(
                    b'HTTP/1.1 421 No\r\nAttempt-Id: c1\r\n'
                    b'Content-Length: 0\r\n\r\n'
                )
                return
            await direct_case.whole('yes')(target, head, writer)

        await self.add(strict)
        asked = {'Expect-Version': '7'}
        self.assertEqual(503, (await self.ask(**asked))[0])
        self.assertEqual((200, b'yes'), (await self.ask())[:2])

    async def test_error_is_retried_elsewhere(self):
        """A read that fails with 500 is retried at another target."""
        self.serve(direct_case.IDEMPOTENT)
        await self.add(direct_case.whole('bad', '500 Bad'))
        await self.add(direct_case.whole('good'), zone='far')
        self.assertEqual((200, b'good'), (await self.ask(method='GET'))[:2])


class StreamCase(direct_case.DirectCase):
    async def test_resumed_elsewhere(self):
        """A stream that breaks within an event resumes at the next event."""
        self.serve(direct_case.STREAM, is_resumable=True)
        await self.add(direct_case.streaming(1, 3, is_whole=False))
        second = await self.add(
            direct_case.streaming(1, 5, is_whole=True), zone='far'
        )
        status, body, _ = await self.ask()
        wanted = ''.join(
            f'id: {number}\ndata: e{number}\n\n' for number in range(1, 6)
        )
        self.assertEqual((200, wanted.encode()), (status, body))
        self.assertEqual(
            '3', direct_case.header(second.heads[0], 'Last-Event-Id')
        )

    async def test_unnumbered_events(self):
        """A stream without event numbers is not resumed."""
        self.serve(direct_case.STREAM, is_resumable=True)

        async def unnumbered(target, head, writer):
            start = direct_case.head_of(target, head)
            writer.write(f'{start}Transfer-Encoding: chunked\r\n\r\n'.encode())
            writer.write(direct_case.chunk('data: first\n\n'))
            writer.close()

        await self.add(unnumbered)
        second = await self.add(
            direct_case.streaming(1, 2, is_whole=True), zone='far'
        )
        with self.assertRaises(aiohttp.ClientError):
            await self.ask()
        self.assertEqual([], second.heads)

    async def test_broken_visibly(self):
        """A stream that can't be resumed ends with a connection error."""
        self.serve(direct_case.STREAM)
        await self.add(direct_case.streaming(1, 3, is_whole=False))
        with self.assertRaises(aiohttp.ClientError):
            await self.ask()

    async def test_caller_leaves(self):
        """When a caller disconnects, the connection to the target is closed."""
        self.serve(direct_case.STREAM, is_resumable=True)
        started = asyncio.Event()

        async def endless(target, head, writer):
            start = direct_case.head_of(target, head)
            writer.write(f'{start}Transfer-Encoding: chunked\r\n\r\n'.encode())
            writer.write(direct_case.chunk('id: 1\ndata: a\n\n'))
            started.set()

        fake = await self.add(endless)
        asking = asyncio.create_task(self.ask())
        await started.wait()
        asking.cancel()
        await fake.closed.wait()


class StopCase(direct_case.DirectCase):
    async def test_idle_connection_is_closed(self):
        """A stopping entry closes idle connections."""
        self.serve(direct_case.ONCE)
        await self.add(direct_case.whole('yes'))
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        request = (
            f'POST /a/b HTTP/1.1\r\nHost: {direct_case.HOST}\r\nAttempt-Id: c\r\n'
            'Authorization: Bearer secret\r\nContent-Length: 0\r\n\r\n'
        )
        writer.write(request.encode())
        await reader.readuntil(b'yes')
        self.front.begin_drain()
        self.front.refuse_new()
        self.assertEqual(b'', await reader.read())
        writer.close()

    async def test_call_in_a_stop(self):
        """A drain asks callers to reconnect, and then refuses new calls."""
        self.serve(direct_case.ONCE)
        await self.add(direct_case.whole('yes'))
        self.front.begin_drain()
        status, _, headers = await self.ask()
        self.assertEqual((200, 'close'), (status, headers['Connection']))
        self.front.refuse_new()
        self.assertEqual(503, (await self.ask())[0])


class ClosedCase(direct_case.DirectCase):
    async def test_closed_group(self):
        """A call to a group without passes gets a longer Retry-After."""
        self.serve(direct_case.STREAM, gap=0.12)
        self.admission.learn(
            configuration.Configuration(
                version=1,
                routes=self.tables.current.config.routes,
                services=(
                    configuration.Service(
                        name='s',
                        step_timing=configuration.StepTiming(
                            empty_seconds=0.03
                        ),
                    ),
                ),
            )
        )
        for _ in range(3):
            await self.add(direct_case.refusing)
        self.admission.refill()
        status, body, headers = await self.ask()
        self.assertEqual(503, status)
        self.assertIn(b'TT7214', body)
        self.assertGreater(float(headers['Retry-After']), 1)


class PriorityCase(direct_case.DirectCase):
    async def test_organisation_goes_first(self):
        """The priority of an organisation overrides that of the route."""
        self.serve(direct_case.STREAM, gap=0.12, priority=2)
        self.set_organisations()
        for _ in range(2):
            await self.add(direct_case.streaming(1, 2, is_whole=True))
        full = self.known.get('t1')
        full.own_calls = 100
        waiting = [
            asyncio.create_task(self.ask(key=key, left='1500'))
            for key in ('usual', 'urgent')
        ]
        while len(self.admission._queues['s']) < 2:
            await asyncio.sleep(0)
        full.own_calls = 0
        self.admission._queues['s'].release()
        done, late = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        self.assertEqual({waiting[1]}, done)
        self.assertEqual(200, waiting[1].result()[0])
        for task in late:
            task.cancel()

    def set_organisations(self):
        current = self.tables.current.config
        organisations = tuple(
            configuration.Organisation(
                name=key, keys=frozenset((key,)), priority=priority
            )
            for key, priority in (('usual', None), ('urgent', 0))
        )
        fresh = attrs.evolve(
            current,
            organisations=organisations,
            services=(
                configuration.Service(
                    name='s',
                    step_timing=configuration.StepTiming(empty_seconds=0.03),
                ),
            ),
        )
        self.tables.put(routing_table.RoutingTable(fresh))
        self.admission.learn(fresh)
