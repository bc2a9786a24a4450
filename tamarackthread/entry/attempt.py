"""Send one call to one target's agent and relay the response."""

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
    """Attempt failed; the cause holds the error of the last step."""

    code = 'TT7015'

    def __init__(self, cause: errors.CodedError, ran: messages.Ran) -> None:
        """Keep the cause and whether the call may have run."""
        super().__init__(f'{cause.code} {cause}')
        self.cause = cause
        # A cause such as a lost link has only its class's default here.
        cause.ran = ran
        self.ran = ran


@attrs.define(eq=False)
class Progress:
    """What the caller has received of the response, over all attempts."""

    events: int = 0
    is_event_stream: bool = False
    is_complete: bool = False


class Attempt:
    """One attempt of a call at one target."""

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
        self._point = outcomes.CallStage.CONNECTING
        self._call: stream.Stream | None = None
        self._preempted = False
        self._splitter = events.EventSplitter()

    @property
    def handed_over(self) -> bool:
        """Return whether the whole call was sent to the agent."""
        return self._point >= outcomes.CallStage.BYTES_SENT

    async def run(self, opening: messages.OpenCall, body: bytes) -> None:
        """Run the attempt; raise ``AttemptFailed`` unless it completes."""
        try:
            await self._run(opening, body)
        except asyncio.CancelledError:
            self.cancel('caller gone')
            raise
        except errors.CodedError as exc:
            raise self._attempt_error(exc) from exc

    def cancel(self, reason: str) -> None:
        """Cancel the call at the agent."""
        if self._call is not None:
            self._call.cancel(reason)

    def preempt(self) -> None:
        """Cancel the attempt so that the call resumes on another target."""
        self._preempted = True
        self.cancel(refusals.CallPreempted.code)

    async def _run(self, opening: messages.OpenCall, body: bytes) -> None:
        link_in_use = self._live_link(opening.idempotent)
        self._call = link_in_use.open(opening)
        await self._call.send(body)
        # The agent calls its target only after the end of the body: a call
        # that fails before has not run, one that fails after may have run.
        self._point = outcomes.CallStage.BYTES_SENT
        self._call.finish(messages.CallEnd(call_id=opening.call_id))
        await self._relay(self._call)

    def _live_link(self, idempotent: bool) -> link.Link:
        current = self._connection.current_link
        if current is None or current.is_closed:
            raise failures.ConnectionSilent(self._connection.name)
        # A call lost on a half-open connection may have run.  If it must not
        # repeat, it needs a connection with a recent heartbeat.
        if not idempotent and not current.is_alive(HEARTBEAT_AGE_LIMIT_SECONDS):
            raise failures.ConnectionSilent(self._connection.name)
        return current

    async def _relay(self, call: stream.Stream) -> None:
        head = await call.receive_head()
        if head is None:
            raise self._end_error(call)
        self._check_call_id(call, head.call_id)
        self._point = outcomes.CallStage.HEAD_RECEIVED
        response_head = responses.from_call_head(head)
        if _is_event_stream(head):
            await self._relay_events(call, response_head)
            return
        await self._relay_plain(call, response_head)

    async def _relay_events(
        self,
        call: stream.Stream,
        head: responses.Head,
    ) -> None:
        self._progress.is_event_stream = True
        if not self._sink.started:
            await self._sink.start(head)
        try:
            async for received in _chunks(call):
                await self._forward(received)
            self._check_end(call)
            self._check_boundary()
        except errors.StreamBroken:
            # After the engine's last event the response is complete.
            if not self._progress.is_complete:
                raise
        await self._finish()

    async def _forward(self, received: bytes) -> None:
        before = self._splitter.count
        blocks = self._splitter.feed(received)
        if not blocks:
            return
        await self._sink.write(events.join(blocks))
        count = self._splitter.count - before
        if count:
            self._ticket.advance(count)
        self._progress.events += count
        self._progress.is_complete = self._splitter.done

    async def _relay_plain(
        self,
        call: stream.Stream,
        head: responses.Head,
    ) -> None:
        buffered = bytearray()
        self._ticket.first_token()
        async for received in _chunks(call):
            if self._sink.started:
                await self._sink.write(received)
                continue
            buffered += received
            if len(buffered) > BUFFER_BYTES:
                await self._sink.start(head)
                await self._sink.write(bytes(buffered))
        self._check_end(call)
        if self._sink.started:
            await self._finish()
            return
        self._progress.is_complete = True
        await self._sink.send(head, bytes(buffered))

    async def _finish(self) -> None:
        self._progress.is_complete = True
        if self._splitter.rest:
            await self._sink.write(self._splitter.rest)
        await self._sink.finish()

    def _check_end(self, call: stream.Stream) -> None:
        end = call.end
        if end is None or end.ran != messages.Ran.COMPLETE:
            raise self._end_error(call)
        self._check_call_id(call, end.call_id)

    def _check_boundary(self) -> None:
        if not self._splitter.done and not self._splitter.is_at_boundary:
            raise errors.StreamBroken('answer ended inside an event')

    def _check_call_id(self, call: stream.Stream, call_id: bytes) -> None:
        if call_id != call.call_id:
            call.cancel(failures.AnswerMismatched.code)
            raise failures.AnswerMismatched

    def _end_error(self, call: stream.Stream) -> errors.CodedError:
        end = call.end
        if end is None:
            return errors.StreamBroken('stream ended without a CallEnd')
        kind = errors.by_code(end.code or '') or errors.PeerFailure
        error = kind(end.text or '', (end.retry_after_ms or 0) / 1000)
        error.ran = outcomes.classify(
            outcomes.Ending(
                stage=self._point,
                cause=outcomes.Cause.AGENT_REPORTED,
                reported=end.ran,
            ),
        )
        return AgentEnded(error)

    def _attempt_error(self, failure: errors.CodedError) -> AttemptFailed:
        if self._preempted:
            return AttemptFailed(
                refusals.CallPreempted(), ran_without_reply(self)
            )
        if isinstance(failure, AgentEnded):
            return AttemptFailed(failure.cause, failure.cause.ran)
        self.cancel(failure.code)
        return AttemptFailed(failure, ran_without_reply(self))


class AgentEnded(errors.CodedError):
    """Agent ended the call with an error."""

    code = 'TT7016'

    def __init__(self, cause: errors.CodedError) -> None:
        """Keep the agent's error."""
        super().__init__(str(cause))
        self.cause = cause


def ran_without_reply(attempted: Attempt) -> messages.Ran:
    """Return whether an attempt without a final reply may have run."""
    if attempted.handed_over:
        return messages.Ran.MAY_HAVE_RUN
    return messages.Ran.NOT_RUN


def _is_event_stream(head: messages.CallHead) -> bool:
    for header in head.headers or ():
        if header.name.lower() == 'content-type':
            return header.value.startswith(EVENT_STREAM)
    return False


async def _chunks(
    call: stream.Stream,
) -> collections.abc.AsyncIterator[bytes]:
    received = await call.receive()
    while received is not None:
        yield received
        received = await call.receive()
