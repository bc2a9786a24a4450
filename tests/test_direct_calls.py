"""Prove what callers get when an entry calls targets directly."""

import asyncio

import aiohttp
import attrs

from tamarackthread.entry.direct import routing_table
from tamarackthread.shared.site import configuration
from tests import direct_case


class AnswersCase(direct_case.DirectCase):
    async def test_key_stays_and_organisation_goes(self):
        """A target learns whose call it is and never sees the key."""
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
        """An entry without a configuration says 'not run', never 404."""
        refused = await self.ask(left='100')
        self.assertEqual(503, refused[0])
        self.serve(direct_case.ONCE)
        self.assertEqual(404, (await self.ask('/c/'))[0])
        self.assertEqual(401, (await self.ask(key='wrong'))[0])

    async def test_reset_does_not_end_an_answer(self):
        """A target crashes while it sends an answer without a length.

        Such an answer ends with its connection.  A reset is no such end, and
        the half must not reach the caller as a direct_case.whole answer.
        """
        self.serve(direct_case.ONCE)
        await self.add(direct_case.resetting_unframed)
        self.assertEqual(502, (await self.ask())[0])

    async def test_answer_without_a_length(self):
        """An answer that ends with its connection in good order is direct_case.whole."""
        self.serve(direct_case.ONCE)
        await self.add(direct_case.ending_unframed)
        self.assertEqual((200, b'all of it'), (await self.ask())[:2])

    async def test_stray_answer_is_not_passed_on(self):
        """The answer to another call lies where ours is expected.

        The caller must not get it, and as the call may have run, it is sent
        again only where that is harmless.
        """
        self.serve(direct_case.ONCE)
        await self.add(direct_case.answering_another)
        self.assertEqual(502, (await self.ask())[0])


class LimitsCase(direct_case.DirectCase):
    async def test_long_body_and_header(self):
        """A body of megabytes and a direct_case.header of many kilobytes are proper.

        The HTTP library's own limits are below those of the configuration
        and would refuse them.
        """
        self.serve(direct_case.ONCE)
        await self.add(direct_case.measuring)
        long = {'X-Note': 'n' * 12_000}
        answer = await self.ask(body=b'b' * (3 << 20), **long)
        self.assertEqual((200, str(3 << 20).encode()), answer[:2])

    async def test_body_over_the_limit(self):
        """A body over the configuration's limit is refused and runs nowhere."""
        self.serve(direct_case.ONCE)
        fake = await self.add(direct_case.measuring)
        answer = await self.ask(body=b'b' * (5 << 20))
        self.assertEqual(413, answer[0])
        self.assertEqual([], fake.heads)


class StartCase(direct_case.DirectCase):
    async def test_waits_for_configuration_and_targets(self):
        """A call comes to an entry that has just started.

        Refused, its caller has used up a try; what is missing comes within a
        moment, so the call waits for it and is served.
        """
        asking = asyncio.create_task(self.ask())
        while not self.front.open_calls:
            await asyncio.sleep(0)
        self.serve(direct_case.ONCE)
        await asyncio.sleep(0)
        await self.add(direct_case.whole('yes'))
        self.assertEqual((200, b'yes'), (await asking)[:2])

    async def test_one_target_is_not_all(self):
        """An entry that has just started knows one target, which is full.

        Others announce themselves within a beat; the call goes to them.
        """
        self.serve(direct_case.STREAM, is_resumable=True)
        full = await self.add(direct_case.refusing)
        asking = asyncio.create_task(self.ask())
        while not full.heads:
            await asyncio.sleep(0)
        await self.add(direct_case.streaming(1, 2, is_whole=True))
        self.assertEqual(200, (await asking)[0])

    async def test_first_target_is_not_crowded(self):
        """Entries that start together know one target at first.

        Each sends it one call and waits a moment for others; all their calls
        there would fill it, and its refusals use up the budget for tries.
        """
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
    """Answer the load of a group in which some ranks take several times long.

    All ranks wait in each step for the slowest one's own work.
    """

    async def test_slow_rank_gets_no_call(self):
        """A slow rank without calls is left so, however busy the others are."""
        self.serve(direct_case.ONCE)
        for _ in range(4):
            await self.add(direct_case.whole('yes'))
        self.known.slow('c', {'t2': 3.0})
        for name in ('t1', 't3', 't4'):
            self.known.get(name).own = 5
        self.assertNotEqual('t2', self.known.choose('s', ()).name)

    async def test_many_slow_ranks_share(self):
        """Where most ranks are slow, the others have not places for all."""
        self.serve(direct_case.ONCE)
        for _ in range(4):
            await self.add(direct_case.whole('yes'))
        self.known.slow('c', dict.fromkeys(('t1', 't2', 't3'), 2.0))
        self.known.get('t4').own = 2
        self.assertNotEqual('t4', self.known.choose('s', ()).name)


class TriesCase(direct_case.DirectCase):
    async def test_lost_answer_is_not_tried_again(self):
        """A call that must not repeat meets a target that drops it.

        It may have run, so no other target sees it, and the answer does not
        say 'not run'.
        """
        self.serve(direct_case.ONCE)
        first = await self.add(direct_case.dropping)
        second = await self.add(direct_case.whole('yes'), zone='far')
        self.assertEqual(502, (await self.ask())[0])
        self.assertEqual((1, 0), (len(first.heads), len(second.heads)))

    async def test_silent_target_is_named(self):
        """The deadline passes while a target has the call.

        Whoever looks for the cause needs to know which target kept it.
        """
        self.serve(direct_case.ONCE)
        await self.add(direct_case.silent)
        logged = self.enterContext(self.assertLogs('tamarackthread.entry'))
        status, body, _ = await self.ask(left='50')
        self.assertEqual(504, status)
        self.assertIn(b't1', body)
        tries = [row for row in logged.records if row.event == 'try_failed']
        self.assertEqual(['t1'], [row.fields['target'] for row in tries])

    async def test_library_does_not_repeat(self):
        """A read is sent once to a target that drops it, then elsewhere.

        The HTTP library would send it to the same target again by itself,
        a run that no budget counts.
        """
        self.serve(direct_case.IDEMPOTENT)
        first = await self.add(direct_case.dropping)
        second = await self.add(direct_case.whole('yes'), zone='far')
        self.assertEqual(200, (await self.ask(method='GET'))[0])
        self.assertEqual((1, 1), (len(first.heads), len(second.heads)))

    async def test_refused_unrun(self):
        """All targets refuse: the caller is told 'not run' and when to come."""
        self.serve(direct_case.ONCE)
        await self.add(direct_case.refusing)
        await self.add(direct_case.refusing)
        status, _, headers = await self.ask()
        self.assertEqual(503, status)
        self.assertGreater(float(headers['Retry-After']), 0)

    async def test_refused_by_one_target(self):
        """One target refuses calls that it has places for, unrun.

        An order may run at one target only.  It has not run there, so it goes
        on to another at once; sent away, its caller would be late.
        """
        self.serve(direct_case.ONCE, attempts=1)
        full = await self.add(direct_case.refusing)
        sound = await self.add(direct_case.whole('yes'), zone='far')
        self.assertEqual((200, b'yes'), (await self.ask())[:2])
        self.assertEqual((1, 1), (len(full.heads), len(sound.heads)))

    async def test_refused_by_all(self):
        """Two of three targets refuse an order: the third is not asked.

        Two that refuse tell that the service is full, and each try more is
        one that others lack.
        """
        self.serve(direct_case.ONCE, attempts=1)
        fakes = [await self.add(direct_case.refusing) for _ in range(3)]
        self.assertEqual(503, (await self.ask())[0])
        self.assertEqual(2, sum(len(fake.heads) for fake in fakes))

    async def test_unreachable_target(self):
        """A call goes on to another target when one can't be connected to."""
        self.serve(direct_case.ONCE, attempts=1)
        gone = await self.add(direct_case.whole('no'))
        gone.close()
        await self.add(direct_case.whole('yes'), zone='far')
        self.assertEqual((200, b'yes'), (await self.ask())[:2])

    async def test_address_that_another_has(self):
        """A target is gone and another one has its address.

        That one refuses by the expected identity; nothing ran, and the call
        goes on to the target that is there, although it may be sent once.
        """
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

    async def test_own_failure_is_tried_elsewhere(self):
        """A target's own failure of a read is tried at another target."""
        self.serve(direct_case.IDEMPOTENT)
        await self.add(direct_case.whole('bad', '500 Bad'))
        await self.add(direct_case.whole('good'), zone='far')
        self.assertEqual((200, b'good'), (await self.ask(method='GET'))[:2])


class StreamCase(direct_case.DirectCase):
    async def test_resumed_elsewhere(self):
        """A stream breaks in the middle of an event and goes on elsewhere.

        The caller sees each event once and in order, and nothing of the half
        event, in one answer.
        """
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
        """A stream of events without numbers breaks after its first.

        Begun anew elsewhere, its caller would read the first event twice.
        """
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
        """A stream that can't go on ends so that no caller takes it for direct_case.whole."""
        self.serve(direct_case.STREAM)
        await self.add(direct_case.streaming(1, 3, is_whole=False))
        with self.assertRaises(aiohttp.ClientError):
            await self.ask()

    async def test_caller_leaves(self):
        """A caller closes its connection; the target's is closed at once."""
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
        """A caller with an idle connection sees a stop, and waits for nothing.

        The HTTP library's own close leaves the connection open and drops what
        comes on it, so that the next request would never be answered.
        """
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
        self.front.leave()
        self.front.refuse_new()
        self.assertEqual(b'', await reader.read())
        writer.close()

    async def test_call_in_a_stop(self):
        """A call that comes after the grace of a stop is told 'not run'."""
        self.serve(direct_case.ONCE)
        await self.add(direct_case.whole('yes'))
        self.front.leave()
        status, _, headers = await self.ask()
        self.assertEqual((200, 'close'), (status, headers['Connection']))
        self.front.refuse_new()
        self.assertEqual(503, (await self.ask())[0])


class ClosedCase(direct_case.DirectCase):
    async def test_closed_group(self):
        """A caller whose group makes no passes is told when it will again.

        Both targets refuse at once, as they do for seconds after one rank of
        their group was lost.  Told a quarter of a second, the caller would be
        refused again and have no try left.
        """
        self.serve(direct_case.STREAM, gap=0.12)
        self.admission.learn(
            configuration.Configuration(
                version=1,
                routes=self.tables.current.held.routes,
                services=(
                    configuration.Service(
                        name='s', passes=configuration.Passes(empty=0.03)
                    ),
                ),
            )
        )
        for _ in range(3):
            await self.add(direct_case.refusing)
        self.admission.share()
        status, body, headers = await self.ask()
        self.assertEqual(503, status)
        self.assertIn(b'TT7214', body)
        self.assertGreater(float(headers['Retry-After']), 1)


class PriorityCase(direct_case.DirectCase):
    async def test_organisation_goes_first(self):
        """Two callers wait for room, and only one of them finds it.

        Their calls are of one route and came one after the other.  The later
        one's organisation is more urgent than the route, so its call goes.
        """
        self.serve(direct_case.STREAM, gap=0.12, priority=2)
        self.hold_organisations()
        for _ in range(2):
            await self.add(direct_case.streaming(1, 2, is_whole=True))
        full = self.known.get('t1')
        full.own = 100
        waiting = [
            asyncio.create_task(self.ask(key=key, left='1500'))
            for key in ('usual', 'urgent')
        ]
        while len(self.admission._lines['s']) < 2:
            await asyncio.sleep(0)
        full.own = 0
        self.admission._lines['s'].left()
        done, late = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        self.assertEqual({waiting[1]}, done)
        self.assertEqual(200, waiting[1].result()[0])
        for task in late:
            task.cancel()

    def hold_organisations(self):
        held = self.tables.current.held
        organisations = tuple(
            configuration.Organisation(
                name=key, keys=frozenset((key,)), priority=priority
            )
            for key, priority in (('usual', None), ('urgent', 0))
        )
        fresh = attrs.evolve(
            held,
            organisations=organisations,
            services=(
                configuration.Service(
                    name='s', passes=configuration.Passes(empty=0.03)
                ),
            ),
        )
        self.tables.put(routing_table.RoutingTable(fresh))
        self.admission.learn(fresh)
