"""Log how calls ended: every failure, a sample of successes, and totals."""

from __future__ import annotations

import asyncio
import collections
import logging

from tamarackthread.entry.direct import (
    call_progress,
    calls,
    sink,
    stream_timing,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, log_events
from tamarackthread.shared.site import site_metrics

SUMMARY_SECONDS = 10.0
# One of this many ordinary answers gets a log line.
# At 32 calls a second of an entry, that is a line every 1.5 s.
SAMPLE_INTERVAL = 50
_Event = log_events.Event
_log = logging.getLogger('tamarackthread.entry')


class CallLog:
    """Log the outcome of each call within the request's log context."""

    # Ordinary answers are sampled and counted, so that the log volume is
    # bounded by the number of failures.
    def __init__(self) -> None:
        """Start with all counters at zero."""
        self._counts: collections.Counter[str] = collections.Counter()
        self._answered = 0

    def log_answered(
        self,
        call: calls.Call,
        version: int,
        timing: stream_timing.StreamTiming,
        progress: call_progress.CallProgress,
    ) -> None:
        """Record a complete answer; log it if it is late or sampled."""
        now = asyncio.get_running_loop().time()
        took = now - call.arrived_at
        site_metrics.CALLS.labels(call.service, 'answered').inc()
        site_metrics.CALL_SECONDS.labels(call.service).observe(took)
        self._counts['answered'] += 1
        self._answered += 1
        is_late = _is_late(call, took, timing)
        if not is_late and self._answered % SAMPLE_INTERVAL:
            self._counts['left_out'] += 1
            return
        log_events.emit(
            _log,
            _Event.CALL_ANSWERED,
            'entry: call answered after %.3f s',
            took,
            took_ms=round(took * 1000),
            route=call.route.name,
            service=call.service,
            organisation=call.organisation,
            version=version,
            is_late=is_late,
            target=timing.target,
            first_ms=_milliseconds(max(0, timing.first_at - call.arrived_at)),
            pause_ms=_milliseconds(timing.longest_pause),
            since_pause_ms=_milliseconds(
                now - timing.longest_pause_end if timing.longest_pause else 0
            ),
            **progress.answer_fields(),
        )

    def log_failed(
        self,
        failure: errors.CodedError,
        call: calls.Call | None,
        version: int,
        has_started: bool,
    ) -> None:
        """Log a call without a complete answer, with its error."""
        event = _event_for(failure, has_started)
        service = '' if call is None else call.service
        site_metrics.CALLS.labels(service, event.value).inc()
        self._counts[event.value] += 1
        fields: dict[str, object] = {
            'code': failure.code,
            'version': version,
            'retry_after_ms': round(failure.retry_after * 1000),
        }
        if call is not None:
            took = asyncio.get_running_loop().time() - call.arrived_at
            fields['took_ms'] = round(took * 1000)
            fields['route'] = call.route.name
            fields['service'] = call.service
            fields['organisation'] = call.organisation
        log_events.emit(
            _log,
            event,
            'entry: call failed, %s %s',
            failure.code,
            failure,
            **fields,
        )

    def log_disconnected(self, out: sink.HttpSink) -> None:
        """Log that the caller has closed its connection."""
        self._counts[_Event.CALLER_LEFT.value] += 1
        site_metrics.CALLS.labels('', _Event.CALLER_LEFT.value).inc()
        log_events.emit(
            _log,
            _Event.CALLER_LEFT,
            'entry: caller disconnected before its answer was complete',
            has_started=out.has_started,
        )

    async def run(self) -> None:
        """Log and reset the counters periodically."""
        while True:
            await asyncio.sleep(SUMMARY_SECONDS)
            if not self._counts:
                continue
            log_events.emit(
                _log,
                _Event.CALLS_SUMMED,
                'entry: %d calls answered in %d s',
                self._counts['answered'],
                SUMMARY_SECONDS,
                **self._counts,
            )
            self._counts.clear()


def _is_late(
    call: calls.Call,
    took: float,
    timing: stream_timing.StreamTiming,
) -> bool:
    """Tell whether the first piece or a later one came too late."""
    if not timing.first_at:
        return 0 < call.route.latency_goal < took
    if 0 < call.route.latency_goal < timing.first_at - call.arrived_at:
        return True
    return 0 < call.route.gap < timing.longest_pause


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)


def _event_for(failure: errors.CodedError, has_started: bool) -> _Event:
    if has_started:
        return _Event.CALL_BROKEN
    if failure.ran == messages.Ran.NOT_RUN:
        return _Event.CALL_REFUSED
    return _Event.CALL_FAILED
