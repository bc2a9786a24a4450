"""The last gate in front of the target.

Only this process hands calls to the target, so only it can say that a call
was not run: it says so before it sends the first byte, and never after.
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
from tamarackthread.shared import errors, events, stream, target_errors

DEFAULT_IDLE_SECONDS = 15.0
URGENT = 0
_EVENT_STREAM = 'text/event-stream'
_log = logging.getLogger('tamarackthread.agent')


@attrs.frozen
class GateOptions:
    """Say which target is guarded and how much it may hold."""

    target_id: str
    is_model: bool
    call_limit: int


class Gate:
    """Check each call, hand it to the target and relay the answer."""

    def __init__(
        self,
        options: GateOptions,
        client: target.TargetClient,
        reporter: reports.Reporter,
        claimed: claims.ClaimGate,
        urgent: weight_loading.UrgentSignal,
    ) -> None:
        """Start open; ``urgent`` is told of urgent calls."""
        self._options = options
        self._client = client
        self._reporter = reporter
        self._claimed = claimed
        self._urgent = urgent
        self._claimed_runs: set[asyncio.Task[None]] = set()
        self._leaving = False
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        self._open = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def open_calls(self) -> int:
        """Count the calls that are with the target or on their way."""
        return self._open

    @property
    def idle_seconds(self) -> float:
        """Give the longest silence between two parts of an answer."""
        return self._idle_seconds

    @idle_seconds.setter
    def idle_seconds(self, seconds: float) -> None:
        self._idle_seconds = seconds

    @property
    def leaving(self) -> bool:
        """Tell whether new calls are refused."""
        return self._leaving

    def set_leaving(self, leaving: bool = True) -> None:
        """Refuse new calls from this moment, or take them again."""
        # Entries learn late that a target leaves.  The refusal here takes
        # effect at once and says 'not run', so a late entry only costs a
        # second attempt elsewhere, never a call on a leaving target.
        if leaving == self._leaving:
            return
        self._leaving = leaving
        self._reporter.set_leaving(leaving)

    async def wait_idle(self) -> None:
        """Wait until no call is in flight."""
        await self._idle.wait()

    async def serve(
        self,
        call: stream.Stream,
        opening: messages.OpenCall,
    ) -> None:
        """Run one call from its opening to its end."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + (opening.deadline_ms or 0) / 1000
        self._enter(opening)
        try:
            await self._serve(call, opening, deadline)
        except errors.CodedError as exc:
            call.finish(_failed(opening, exc))
        finally:
            self._leave_one(opening)

    async def _serve(
        self,
        call: stream.Stream,
        opening: messages.OpenCall,
        deadline: float,
    ) -> None:
        self._check(opening, deadline)
        body = await _read_body(call)
        # Checked once more: the body may have taken long to arrive, and the
        # target may have begun to leave or fallen silent meanwhile.
        self._check(opening, deadline)
        if opening.claim:
            await self._run_claimed(call, opening, body)
            return
        await self._run(call, opening, body)

    def _check(self, opening: messages.OpenCall, deadline: float) -> None:
        if opening.target != self._options.target_id:
            raise target_errors.WrongTarget(
                f'this is {self._options.target_id}'
            )
        if self._leaving:
            raise target_errors.TargetLeaving
        if self._reporter.is_stuck:
            raise target_errors.TargetSilent
        if asyncio.get_running_loop().time() >= deadline:
            raise target_errors.DeadlinePassed
        if self._open > self._options.call_limit:
            raise target_errors.TargetFull

    def probe(self, ask: messages.ClaimProbe) -> messages.ClaimProof:
        """Tell what became of a claim here."""
        return self._claimed.probe(ask)

    async def _run_claimed(
        self,
        call: stream.Stream,
        opening: messages.OpenCall,
        body: bytes,
    ) -> None:
        # A claimed call can't be taken back once the target has it, so it
        # outlives the link of an entry that died.  Its end and its answer
        # are what the second try of its caller will ask for.
        work = self._relay_claimed(call, opening, body)
        run = asyncio.get_running_loop().create_task(work)
        self._claimed_runs.add(run)
        run.add_done_callback(self._end_claimed)
        await asyncio.shield(run)

    def _end_claimed(self, run: asyncio.Task[None]) -> None:
        self._claimed_runs.discard(run)
        if not run.cancelled() and run.exception() is not None:
            _log.info('agent: claimed call failed, %s', run.exception())

    async def _relay_claimed(
        self,
        call: stream.Stream,
        opening: messages.OpenCall,
        body: bytes,
    ) -> None:
        self._claimed.admit(opening)
        recorder = response_recorder.ResponseRecorder(call)
        answer = None
        self._enter(opening)
        try:
            await self._relay(recorder, opening, body)
            answer = recorder.answer
        except target_errors.TargetUnreachable:
            self._claimed.withdraw(opening)
            raise
        finally:
            self._claimed.finish(opening, answer)
            self._leave_one(opening)

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
                await self._stop(relaying, opening)
                raise target_errors.CallCancelled
            relaying.result()
        finally:
            watching.cancel()
            relaying.cancel()

    async def _stop(
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
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise target_errors.TargetBroke(f'in its answer: {exc!r}') from exc
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
        if response.content_type != _EVENT_STREAM:
            async for received in response.content.iter_any():
                await call.send(received)
            return 0
        cutter = events.EventCutter()
        async for received in response.content.iter_any():
            whole = cutter.cut(received)
            if whole:
                await call.send(whole)
        # An engine that dies may close its connection cleanly.  Without its
        # closing event the answer is not whole and must not end as if it
        # were: the caller would take the first half for all of it.
        if self._options.is_model and not cutter.done:
            raise target_errors.TargetBroke('closed without its closing event')
        if cutter.rest:
            await call.send(cutter.rest)
        return (opening.resume_events or 0) + cutter.count

    def _enter(self, opening: messages.OpenCall) -> None:
        self._open += 1
        self._idle.clear()
        if opening.priority == URGENT:
            self._urgent.arrived()

    def _leave_one(self, opening: messages.OpenCall) -> None:
        self._open -= 1
        if opening.priority == URGENT:
            self._urgent.finished()
        if self._open == 0:
            self._idle.set()


def _failed(
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
