"""Test that a late answer gets a log line with its timing."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.entry.direct import (
    call_log,
    call_progress,
    calls,
    stream_timing,
)
from tamarackthread.shared.site import configuration
from tests import policy_case

ROUTE = configuration.Route(
    name='r',
    host='h',
    prefix='/',
    kind=configuration.RouteKind.STREAM,
    timeout=8,
    latency_goal=0.4,
    gap=0.12,
    attempts=2,
    shares=(('s', 1),),
)


class CallLogCase(policy_case.PausedCase):
    def test_paused_stream(self):
        """A stream that pauses too long is late, and the line has the pause."""
        fields = self.run_paused(self._logged((0.1, 0.2, 0.7, 0.8)))
        self.assertTrue(fields['is_late'])
        self.assertEqual(100, fields['first_ms'])
        self.assertEqual(500, fields['pause_ms'])
        self.assertEqual(100, fields['since_pause_ms'])
        self.assertEqual('t1', fields['target'])

    def test_late_start(self):
        """A stream whose first event came after its goal is late."""
        fields = self.run_paused(self._logged((0.5, 0.55)))
        self.assertTrue(fields['is_late'])
        self.assertEqual(500, fields['first_ms'])

    def test_in_time(self):
        """A long stream without a pause is not late and gets no line."""
        times = [0.1 * number for number in range(1, 20)]
        self.assertIsNone(self.run_paused(self._logged(times)))

    async def _logged(self, times):
        loop = asyncio.get_running_loop()
        began = loop.time()
        call = calls.Call(
            request=calls.CallRequest(
                call_id='c', method='POST', host='h', path='/', headers=()
            ),
            body=b'',
            route=ROUTE,
            service='s',
            organisation='o',
            arrived_at=began,
            deadline=began + 8,
        )
        timing = stream_timing.StreamTiming(target='t1')
        for sent_at in times:
            await asyncio.sleep(began + sent_at - loop.time())
            timing.note(loop.time())
        log = logging.getLogger('tamarackthread.entry')
        watched = self.assertLogs(log, 'INFO')
        with watched:
            log.info('begin')
            call_log.CallLog().log_answered(
                call, 3, timing, call_progress.CallProgress()
            )
        written = watched.watcher.records[1:]
        return written[0].fields if written else None
