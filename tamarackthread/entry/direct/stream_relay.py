"""Relay the events of a target's answer, and tell whether it is whole."""

from __future__ import annotations

import asyncio

from tamarackthread.entry.direct import (
    admission_control,
    call_progress,
    calls,
    poison_requests,
    sink,
    stream_timing,
    target_client,
)
from tamarackthread.shared import events, response_body
from tamarackthread.shared.site import configuration, site_metrics

HTTP_OK = 200
EVENT_STREAM = 'text/event-stream'
CUT_INSIDE_EVENT = 'answer ended inside an event'
CUT_BEFORE_EVENTS = 'answer ended before any event, and its target is gone'


class StreamRelay:
    """Relay streams to callers, event by event."""

    def __init__(
        self,
        admission: admission_control.AdmissionControl,
        poison: poison_requests.PoisonRequests,
    ) -> None:
        """Tell ``admission`` of the events and the gaps between them.

        ``poison`` is told of answers that have begun.
        """
        self._admission = admission
        self._poison = poison

    async def run(
        self,
        call: calls.Call,
        answer: target_client.TargetResponse,
        progress: call_progress.CallProgress,
        out: sink.Sink,
    ) -> None:
        """Relay events as they come, each at most once and in order.

        Raises ``Lost`` if the answer breaks off, however it is framed.
        """
        splitter = events.EventSplitter()
        now = asyncio.get_running_loop().time()
        site_metrics.FIRST_SECONDS.labels(call.service).observe(
            now - call.arrived_at
        )
        if not out.has_started:
            await out.start(answer.head)
        if progress.current_target is not None:
            out.timing.target = progress.current_target.name
        async for piece in answer.pieces():
            ready = progress.drop_repeated(splitter.feed(piece))
            progress.note_rest(splitter)
            answer.hold(splitter.rest_size + events.size_of(ready))
            if ready:
                await self._pass_on(call, ready, progress, out)
        await self._check_end(answer, progress, splitter)
        if splitter.rest:
            await out.write(splitter.rest)
        await out.finish()

    async def _check_end(
        self,
        answer: target_client.TargetResponse,
        progress: call_progress.CallProgress,
        splitter: events.EventSplitter,
    ) -> None:
        """Raise ``Lost`` if a stream has ended too early."""
        if not splitter.is_at_boundary:
            raise target_client.Lost(CUT_INSIDE_EVENT)
        if progress.is_event_due:
            raise target_client.Lost('answer lacks the event that was cut')
        if await self._has_crashed(answer, progress):
            raise target_client.Lost(CUT_BEFORE_EVENTS)

    async def _has_crashed(
        self,
        answer: target_client.TargetResponse,
        progress: call_progress.CallProgress,
    ) -> bool:
        """Tell whether a target crashed before the first event.

        Without a length or chunks such an answer looks like an empty stream.
        """
        is_unframed = answer.trace.framing is response_body.Framing.CONNECTION
        target = progress.current_target
        if progress.relayed_events or not is_unframed or target is None:
            return False
        return await self._poison.is_gone(target)

    async def _pass_on(
        self,
        call: calls.Call,
        ready: list[events.Block],
        progress: call_progress.CallProgress,
        out: sink.Sink,
    ) -> None:
        count = sum(block.is_event for block in ready)
        if count:
            if not progress.relayed_events:
                self._poison.note_begun(call)
            progress.relayed_events += count
            self._admission.note_piece(call)
            self._note_gap(call, out.timing, count)
        await out.write(events.join(ready))

    def _note_gap(
        self,
        call: calls.Call,
        timing: stream_timing.StreamTiming,
        pieces: int,
    ) -> None:
        if not timing.last_at:
            return
        pause = asyncio.get_running_loop().time() - timing.last_at
        self._admission.note_gap(call, pause / pieces)


def is_event_stream(call: calls.Call, head: target_client.ResponseHead) -> bool:
    """Tell whether an answer is relayed event by event."""
    if call.route.kind is not configuration.RouteKind.STREAM:
        return False
    if head.status != HTTP_OK:
        return False
    # Targets may leave the content type out.
    return head.content_type in {'', EVENT_STREAM}


async def read_whole(answer: target_client.TargetResponse) -> bytes:
    """Read an answer that is not relayed as it comes; raise ``Lost``."""
    body = await answer.whole()
    is_stream = answer.head.content_type == EVENT_STREAM
    if is_stream and not events.is_whole(body):
        raise target_client.Lost(CUT_INSIDE_EVENT)
    return body
