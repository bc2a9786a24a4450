"""Hand one call to one target's agent and relay what comes back."""

from __future__ import annotations

import asyncio
import collections.abc

import attrs

from tamarackthread.entry import failures, fleet, responses
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import admission, outcomes, refusals
from tamarackthread.shared import errors, events, link, stream

HEARTBEAT_AGE_LIMIT_SECONDS = 1.25
BUFFER_BYTES = 64 * 1024
EVENT_STREAM = 'text/event-stream'


class AttemptFailed(errors.CodedError):
    """Attempt failed; the cause tells why and what is known of it."""

    code = 'TT7015'

    def __init__(self, cause: errors.CodedError, ran: messages.Ran) -> None:
        """Keep the cause and what is known about the call's execution."""
        super().__init__(f'{cause.code} {cause}')
        self.cause = cause
        # The class of a cause, such as a lost link, can't know how far the
        # call had come; whoever is told of the cause is told by the attempt.
        cause.ran = ran
        self.ran = ran


@attrs.define(eq=False)
class Progress:
    """How far an answer has come to its caller, over all attempts."""

    events: int = 0
    is_event_stream: bool = False
    is_complete: bool = False


class Attempt:
    """One try of a call at one target."""

    def __init__(
        self,
        connection: fleet.TargetConnection,
        ticket: admission.Ticket,
        sink: responses.Sink,
        progress: Progress,
    ) -> None:
        """Send nothing yet."""
        self._connection = connection
        self._ticket = ticket
        self._sink = sink
        self._progress = progress
        self._point = outcomes.Point.CONNECTING
        self._call: stream.Stream | None = None
        self._gave_way = False
        self._cutter = events.EventCutter()

    @property
    def handed_over(self) -> bool:
        """Tell whether the whole call has left for the agent."""
        return self._point >= outcomes.Point.BYTES_LEFT

    async def run(self, opening: messages.OpenCall, body: bytes) -> None:
        """Run the attempt; raise ``AttemptFailed`` unless it was whole."""
        try:
            await self._run(opening, body)
        except asyncio.CancelledError:
            self.cancel('caller gone')
            raise
        except errors.CodedError as exc:
            raise self._failed(exc) from exc

    def cancel(self, reason: str) -> None:
        """Tell the agent that nobody waits for the answer any more."""
        if self._call is not None:
            self._call.cancel(reason)

    def preempt(self) -> None:
        """End the attempt, so that the call goes on at another place."""
        self._gave_way = True
        self.cancel(refusals.CallPreempted.code)

    async def _run(self, opening: messages.OpenCall, body: bytes) -> None:
        held = self._fresh_link(opening.idempotent)
        self._call = held.open(opening)
        await self._call.send(body)
        # The agent hands a call to its target only after this end of the
        # body.  Whatever fails before it has not run, whatever fails after
        # it may have: the bytes may have arrived though nothing came back.
        self._point = outcomes.Point.BYTES_LEFT
        self._call.finish(messages.CallEnd(call_id=opening.call_id))
        await self._relay(self._call)

    def _fresh_link(self, idempotent: bool) -> link.Link:
        held = self._connection.current_link
        if held is None or held.is_closed:
            raise failures.ConnectionSilent(self._connection.name)
        # A connection that something on the way has lost track of swallows
        # the call.  For a call that may not repeat its silence could only be
        # told as 'may have run', so it goes only over a connection that
        # echoed a heartbeat a moment ago.
        if not idempotent and not held.is_fresh(HEARTBEAT_AGE_LIMIT_SECONDS):
            raise failures.ConnectionSilent(self._connection.name)
        return held

    async def _relay(self, call: stream.Stream) -> None:
        head = await call.receive_head()
        if head is None:
            raise self._ended(call)
        self._check_identity(call, head.call_id)
        self._point = outcomes.Point.HEAD_SEEN
        found = responses.from_call_head(head)
        if _is_event_stream(head):
            await self._relay_events(call, found)
            return
        await self._relay_plain(call, found)

    async def _relay_events(
        self,
        call: stream.Stream,
        head: responses.Head,
    ) -> None:
        self._progress.is_event_stream = True
        if not self._sink.started:
            await self._sink.start(head)
        try:
            async for received in _pieces(call):
                await self._pass_on(received)
            self._check_end(call)
        except errors.StreamBroken:
            # After the engine's closing event nothing is missing, whatever
            # became of the link.
            if not self._progress.is_complete:
                raise
        await self._finish()

    async def _pass_on(self, received: bytes) -> None:
        before = self._cutter.count
        whole = self._cutter.cut(received)
        if not whole:
            return
        await self._sink.write(whole)
        events = self._cutter.count - before
        if events:
            self._ticket.advance(events)
        self._progress.events += events
        self._progress.is_complete = self._cutter.done

    async def _relay_plain(
        self,
        call: stream.Stream,
        head: responses.Head,
    ) -> None:
        kept = bytearray()
        self._ticket.first_token()
        async for received in _pieces(call):
            if self._sink.started:
                await self._sink.write(received)
                continue
            kept += received
            if len(kept) > BUFFER_BYTES:
                await self._sink.start(head)
                await self._sink.write(bytes(kept))
        self._check_end(call)
        if self._sink.started:
            await self._finish()
            return
        self._progress.is_complete = True
        await self._sink.send(head, bytes(kept))

    async def _finish(self) -> None:
        self._progress.is_complete = True
        if self._cutter.rest:
            await self._sink.write(self._cutter.rest)
        await self._sink.finish()

    def _check_end(self, call: stream.Stream) -> None:
        end = call.end
        if end is None or end.ran != messages.Ran.COMPLETE:
            raise self._ended(call)
        self._check_identity(call, end.call_id)

    def _check_identity(self, call: stream.Stream, found: bytes) -> None:
        if found != call.call_id:
            call.cancel(failures.AnswerMismatched.code)
            raise failures.AnswerMismatched

    def _ended(self, call: stream.Stream) -> errors.CodedError:
        end = call.end
        if end is None:
            return errors.StreamBroken('ended without a word')
        kind = errors.by_code(end.code or '') or errors.PeerFailure
        ended = kind(end.text or '', (end.retry_after_ms or 0) / 1000)
        ended.ran = outcomes.classify(
            outcomes.Ending(
                point=self._point,
                cause=outcomes.Cause.AGENT_SAID,
                said=end.ran,
            ),
        )
        return AgentEnded(ended)

    def _failed(self, failure: errors.CodedError) -> AttemptFailed:
        if self._gave_way:
            return AttemptFailed(
                refusals.CallPreempted(), ran_without_reply(self)
            )
        if isinstance(failure, AgentEnded):
            return AttemptFailed(failure.cause, failure.cause.ran)
        self.cancel(failure.code)
        return AttemptFailed(failure, ran_without_reply(self))


class AgentEnded(errors.CodedError):
    """Agent ended the call and said what it knows."""

    code = 'TT7016'

    def __init__(self, cause: errors.CodedError) -> None:
        """Keep what the agent said."""
        super().__init__(str(cause))
        self.cause = cause


def ran_without_reply(attempted: Attempt) -> messages.Ran:
    """Say what is known of an attempt that ended without its agent's word."""
    if attempted.handed_over:
        return messages.Ran.MAY_HAVE_RUN
    return messages.Ran.NOT_RUN


def _is_event_stream(head: messages.CallHead) -> bool:
    for header in head.headers or ():
        if header.name.lower() == 'content-type':
            return header.value.startswith(EVENT_STREAM)
    return False


async def _pieces(
    call: stream.Stream,
) -> collections.abc.AsyncIterator[bytes]:
    received = await call.receive()
    while received is not None:
        yield received
        received = await call.receive()
