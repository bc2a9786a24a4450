"""Log how calls ended: every bad end, a sample of good ones, and the sums."""

from __future__ import annotations

import asyncio
import collections
import logging

from tamarackthread.entry.direct import calls, sink, stream_timing
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, log_events
from tamarackthread.shared.site import figures

SUM_SECONDS = 10.0
# One of so many ordinary answers is logged by itself.  At 32 calls a second,
# an entry's part of the size that we design for, that is a line every 1.5 s.
SAMPLE = 50
_Event = log_events.Event
_log = logging.getLogger('tamarackthread.entry')


class CallLog:
    """Tell of each call's end within the request's own log context.

    What is ordinary is only counted, so that the volume under load is bounded
    by what goes wrong; the sums say how many lines were left out.
    """

    def __init__(self) -> None:
        """Begin with nothing counted."""
        self._counts: collections.Counter[str] = collections.Counter()
        self._answered = 0

    def answered(
        self,
        call: calls.Call,
        version: int,
        pieces: stream_timing.StreamTiming,
    ) -> None:
        """Note a whole answer; it is logged if it was late, or by sample."""
        now = asyncio.get_running_loop().time()
        took = now - call.arrived
        figures.CALLS.labels(call.service, 'answered').inc()
        figures.CALL_SECONDS.labels(call.service).observe(took)
        self._counts['answered'] += 1
        self._answered += 1
        is_late = _is_late(call, took, pieces)
        if not is_late and self._answered % SAMPLE:
            self._counts['left_out'] += 1
            return
        log_events.tell(
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
            target=pieces.target,
            first_ms=_milliseconds(max(0, pieces.first_at - call.arrived)),
            pause_ms=_milliseconds(pieces.pause),
            since_pause_ms=_milliseconds(
                now - pieces.paused_until if pieces.pause else 0
            ),
        )

    def ended(
        self,
        failure: errors.CodedError,
        call: calls.Call | None,
        version: int,
        has_started: bool,
    ) -> None:
        """Log a call that has no whole answer, with what it is told."""
        event = _event_of(failure, has_started)
        service = '' if call is None else call.service
        figures.CALLS.labels(service, event.value).inc()
        self._counts[event.value] += 1
        fields: dict[str, object] = {
            'code': failure.code,
            'version': version,
            'retry_after_ms': round(failure.retry_after * 1000),
        }
        if call is not None:
            took = asyncio.get_running_loop().time() - call.arrived
            fields['took_ms'] = round(took * 1000)
            fields['route'] = call.route.name
            fields['service'] = call.service
            fields['organisation'] = call.organisation
        log_events.tell(
            _log,
            event,
            'entry: call ended, %s %s',
            failure.code,
            failure,
            **fields,
        )

    def left(self, out: sink.HttpSink) -> None:
        """Log that the caller has closed its connection."""
        self._counts[_Event.CALLER_LEFT.value] += 1
        figures.CALLS.labels('', _Event.CALLER_LEFT.value).inc()
        log_events.tell(
            _log,
            _Event.CALLER_LEFT,
            'entry: caller left before its answer was whole',
            has_started=out.has_started,
        )

    async def run(self) -> None:
        """Log the sums for ever, while there is something to sum."""
        while True:
            await asyncio.sleep(SUM_SECONDS)
            if not self._counts:
                continue
            log_events.tell(
                _log,
                _Event.CALLS_SUMMED,
                'entry: %d calls answered in %d s',
                self._counts['answered'],
                SUM_SECONDS,
                **self._counts,
            )
            self._counts.clear()


def _is_late(
    call: calls.Call,
    took: float,
    pieces: stream_timing.StreamTiming,
) -> bool:
    """Tell whether an answer came too late, or a stream paused too long."""
    if not pieces.first_at:
        return 0 < call.route.aim < took
    if 0 < call.route.aim < pieces.first_at - call.arrived:
        return True
    return 0 < call.route.gap < pieces.pause


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)


def _event_of(failure: errors.CodedError, has_started: bool) -> _Event:
    if has_started:
        return _Event.CALL_BROKEN
    if failure.ran == messages.Ran.NOT_RUN:
        return _Event.CALL_REFUSED
    return _Event.CALL_FAILED
