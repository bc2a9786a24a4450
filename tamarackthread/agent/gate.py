"""Check calls at admission and relay them to the target.  A call is reported
as not run only if none of its bytes were sent.
"""

from __future__ import annotations

import asyncio
import logging

import aiohttp
import attrs

from tamarackthread.agent import (
    claims,
    reports,
    response_recorder,
    target,
    weight_loading,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    errors,
    events,
    response_body,
    stream,
    target_errors,
)

DEFAULT_IDLE_SECONDS = 15.0
URGENT = 0
_EVENT_STREAM = 'text/event-stream'
_log = logging.getLogger('tamarackthread.agent')


@attrs.frozen
class GateOptions:
    """Identify the target and set its concurrency limit."""

    target_id: str
    is_model: bool
    call_limit: int


class Gate:
    """Check each call, send it to the target and relay the answer."""

    def __init__(
        self,
        options: GateOptions,
        client: target.TargetClient,
        reporter: reports.Reporter,
        claim_gate: claims.ClaimGate,
        urgent: weight_loading.UrgentSignal,
    ) -> None:
        """Accept calls; report urgent ones to ``urgent``."""
        self._options = options
        self._client = client
        self._reporter = reporter
        self._claims = claim_gate
        self._urgent = urgent
        self._claimed_tasks: set[asyncio.Task[None]] = set()
        self._leaving = False
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        self._open = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def open_calls(self) -> int:
        """Return the number of calls in progress."""
        return self._open

    @property
    def idle_seconds(self) -> float:
        """Return the idle timeout between two reads of an answer."""
        return self._idle_seconds

    @idle_seconds.setter
    def idle_seconds(self, seconds: float) -> None:
        self._idle_seconds = seconds

    @property
    def leaving(self) -> bool:
        """Tell whether new calls are refused."""
        return self._leaving

    def set_leaving(self, leaving: bool = True) -> None:
        """Start or stop refusing new calls."""
        # Entries learn of the drain with a delay.  Until then their calls are
        # refused here as not run, and retried at another target.
        if leaving == self._leaving:
            return
        self._leaving = leaving
        self._reporter.set_leaving(leaving)

    async def wait_idle(self) -> None:
        """Wait until no call is in progress."""
        await self._idle.wait()

    async def serve(
        self,
        call: stream.Stream,
        opening: messages.OpenCall,
    ) -> None:
        """Serve one call and send its end, or the error that ended it."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + (opening.deadline_ms or 0) / 1000
        self._call_started(opening)
        try:
            await self._serve(call, opening, deadline)
        except errors.CodedError as exc:
            call.finish(_error_end(opening, exc))
        finally:
            self._call_ended(opening)

    async def _serve(
        self,
        call: stream.Stream,
        opening: messages.OpenCall,
        deadline: float,
    ) -> None:
        self._check(opening, deadline)
        body = await _read_body(call)
        # Repeated, because reading the body takes time and the target may
        # have started to drain or stopped answering.
        self._check(opening, deadline)
        if opening.claim:
            await self._run_claimed(call, opening, body)
            return
        await self._run(call, opening, body)

    def _check(self, opening: messages.OpenCall, deadline: float) -> None:
        if opening.target != self._options.target_id:
            raise target_errors.WrongTarget(
                f'agent serves target {self._options.target_id}'
            )
        if self._leaving:
            raise target_errors.TargetLeaving
        if self._reporter.is_stuck:
            raise target_errors.TargetSilent
        if asyncio.get_running_loop().time() >= deadline:
            raise target_errors.DeadlinePassed
        if self._open > self._options.call_limit:
            raise target_errors.TargetFull

    def probe(self, request: messages.ClaimProbe) -> messages.ClaimProof:
        """Report the state of a claim at this target."""
        return self._claims.probe(request)

    async def _run_claimed(
        self,
        call: stream.Stream,
        opening: messages.OpenCall,
        body: bytes,
    ) -> None:
        # A claimed call is not cancelled when its link is lost: the caller's
        # retry probes for its outcome and its answer.
        work = self._relay_claimed(call, opening, body)
        run = asyncio.get_running_loop().create_task(work)
        self._claimed_tasks.add(run)
        run.add_done_callback(self._on_claimed_done)
        await asyncio.shield(run)

    def _on_claimed_done(self, run: asyncio.Task[None]) -> None:
        self._claimed_tasks.discard(run)
        if not run.cancelled() and run.exception() is not None:
            _log.info('agent: claimed call failed, %s', run.exception())

    async def _relay_claimed(
        self,
        call: stream.Stream,
        opening: messages.OpenCall,
        body: bytes,
    ) -> None:
        self._claims.admit(opening)
        recorder = response_recorder.ResponseRecorder(call)
        answer = None
        self._call_started(opening)
        try:
            await self._relay(recorder, opening, body)
            answer = recorder.answer
        except target_errors.TargetUnreachable:
            self._claims.withdraw(opening)
            raise
        finally:
            self._claims.finish(opening, answer)
            self._call_ended(opening)

    async def _run(
        self,
        call: stream.Stream,
        opening: messages.OpenCall,
        body: bytes,
    ) -> None:
        relaying = asyncio.ensure_future(self._relay(call, opening, body))
        watching = asyncio.ensure_future(call.wait_failed())
        try:
            await asyncio.wait(
                (relaying, watching),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not relaying.done():
                await self._cancel_relay(relaying, opening)
                raise target_errors.CallCancelled
            relaying.result()
        finally:
            watching.cancel()
            relaying.cancel()

    async def _cancel_relay(
        self,
        relaying: asyncio.Future[None],
        opening: messages.OpenCall,
    ) -> None:
        relaying.cancel()
        await asyncio.wait((relaying,))
        if self._options.is_model:
            await self._client.cancel(opening.call_id)

    async def _relay(
        self,
        call: response_recorder.ResponseSink,
        opening: messages.OpenCall,
        body: bytes,
    ) -> None:
        response = await self._client.send_call(
            opening,
            body,
            self._idle_seconds,
        )
        try:
            call.send_head(
                messages.CallHead(
                    call_id=opening.call_id,
                    status=response.status,
                    headers=target.response_headers(response),
                ),
            )
            sent = await self._relay_body(call, opening, response)
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise target_errors.TargetBroke(
                f'while reading the answer: {exc!r}'
            ) from exc
        finally:
            response.close()
        call.finish(
            messages.CallEnd(
                call_id=opening.call_id,
                ran=messages.Ran.COMPLETE,
                code='',
                events=sent,
            ),
        )

    async def _relay_body(
        self,
        call: response_recorder.ResponseSink,
        opening: messages.OpenCall,
        response: aiohttp.ClientResponse,
    ) -> int:
        body = response_body.ResponseBody(response)
        if response.content_type != _EVENT_STREAM:
            async for received in body.pieces():
                await call.send(received)
            return 0
        splitter = events.EventSplitter()
        async for received in body.pieces():
            blocks = splitter.feed(received)
            if blocks:
                await call.send(events.join(blocks))
        # A crashing engine may close its connection cleanly; without the
        # closing event the answer is truncated.
        if self._options.is_model and not splitter.done:
            raise target_errors.TargetBroke(
                'answer ended without its closing event'
            )
        if not splitter.done and not splitter.is_at_boundary:
            raise target_errors.TargetBroke('answer ended inside an event')
        if splitter.rest:
            await call.send(splitter.rest)
        return (opening.resume_events or 0) + splitter.count

    def _call_started(self, opening: messages.OpenCall) -> None:
        self._open += 1
        self._idle.clear()
        if opening.priority == URGENT:
            self._urgent.arrived()

    def _call_ended(self, opening: messages.OpenCall) -> None:
        self._open -= 1
        if opening.priority == URGENT:
            self._urgent.finished()
        if self._open == 0:
            self._idle.set()


def _error_end(
    opening: messages.OpenCall,
    failure: errors.CodedError,
) -> messages.CallEnd:
    return messages.CallEnd(
        call_id=opening.call_id,
        ran=failure.ran,
        code=failure.code,
        text=str(failure),
        retry_after_ms=int(failure.retry_after * 1000),
    )


async def _read_body(call: stream.Stream) -> bytes:
    parts = []
    try:
        received = await call.receive()
        while received is not None:
            parts.append(received)
            received = await call.receive()
    except errors.StreamBroken as exc:
        raise target_errors.BodyIncomplete(str(exc)) from exc
    return b''.join(parts)
