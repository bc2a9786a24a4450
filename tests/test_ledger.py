"""Prove that a late answer leaves a line that tells what it waited for."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.entry.direct import call_log, calls, stream_timing
from tamarackthread.shared.site import configuration
from tests import policy_case

ROUTE = configuration.Route(
    name='r',
    host='h',
    prefix='/',
    kind=configuration.Kind.STREAM,
    timeout=8,
    aim=0.4,
    gap=0.12,
    attempts=2,
    shares=(('s', 1),),
)


class LedgerCase(policy_case.PausedCase):
    def test_paused_stream(self):
        """A stream that came at once and then paused is late.

        Its caller saw a pause of half a second in the middle.  Without a line
        of its own nobody can tell which step or switch it waited for.
        """
        fields = self.run_paused(self._played((0.1, 0.2, 0.7, 0.8)))
        self.assertTrue(fields['is_late'])
        self.assertEqual(100, fields['first_ms'])
        self.assertEqual(500, fields['pause_ms'])
        self.assertEqual(100, fields['since_pause_ms'])
        self.assertEqual('t1', fields['target'])

    def test_late_start(self):
        """A stream whose first event came after its aim is late."""
        fields = self.run_paused(self._played((0.5, 0.55)))
        self.assertTrue(fields['is_late'])
        self.assertEqual(500, fields['first_ms'])

    def test_in_time(self):
        """A long stream without a pause is not late, and leaves no line."""
        moments = [0.1 * number for number in range(1, 20)]
        self.assertIsNone(self.run_paused(self._played(moments)))

    async def _played(self, moments):
        loop = asyncio.get_running_loop()
        began = loop.time()
        call = calls.Call(
            asked=calls.CallRequest(
                call_id='c', method='POST', host='h', path='/', headers=()
            ),
            body=b'',
            route=ROUTE,
            service='s',
            organisation='o',
            arrived=began,
            deadline=began + 8,
        )
        pieces = stream_timing.StreamTiming(target='t1')
        for moment in moments:
            await asyncio.sleep(began + moment - loop.time())
            pieces.note(loop.time())
        log = logging.getLogger('tamarackthread.entry')
        watched = self.assertLogs(log, 'INFO')
        with watched:
            log.info('begin')
            call_log.CallLog().answered(call, 3, pieces)
        written = watched.watcher.records[1:]
        return written[0].fields if written else None
