"""Run a call at targets until one has answered or no try is left."""

from __future__ import annotations

import asyncio
import random

from tamarackthread.entry.direct import (
    admission_control,
    call_progress,
    calls,
    failures,
    instances,
    poison_requests,
    retry_budgets,
    sink,
    sse,
    target_client,
    targets,
)
from tamarackthread.entry.direct import stream_timing as tempos
from tamarackthread.shared import errors
from tamarackthread.shared.site import configuration, figures

# Tries at which no connection came about cost a target nothing; a caller
# would still wait for each of them.
CONNECT_TRIES = 4
# A route's attempts bound how many targets may run a call, and one that refused it
# has not.  A target that refuses while it has places is no reason to send a caller
# away whose aim a second try would meet; two that refuse tell that all are full.
MOST_REFUSED = 2
# A full target has a place again within about a tenth of a second; callers
# that come back spread over more than that do not meet again.
RETRY_AFTER_SECONDS = 0.25
NO_TARGET_SECONDS = 0.5
# A group whose rank was lost opens again within two or three seconds.  A caller who
# waits here for its first event leaves before that.
CLOSED_SECONDS = 2.0
# Callers that were refused while all targets wanted rest return over this time.
RETURN_SECONDS = 1.0
# An answer from this status on is a failure of the target's own.
FAILED_STATUS = 500


class CallRunner:
    """Run calls at the targets of their services."""

    def __init__(
        self,
        known: targets.Targets,
        sender: target_client.TargetClient,
        budget: retry_budgets.RetryBudgets,
        admission: admission_control.AdmissionControl,
        crashing: poison_requests.PoisonRequests,
        generator: random.Random,
    ) -> None:
        """Choose among ``known`` and send with ``sender``."""
        self._crashing = crashing
        self._known = known
        self._admission = admission
        self._sender = sender
        self._budget = budget
        self._random = generator

    async def run(self, call: calls.Call, out: sink.Sink) -> None:
        """Answer the caller, or raise why there is no whole answer.

        A coded error raised here tells whether the call may have run; the
        answer may have begun by then.
        """
        self._crashing.check(call)
        progress = call_progress.CallProgress()
        self._budget.earn(call.service)
        try:
            async with asyncio.timeout_at(call.deadline):
                await self._try_until_answered(call, progress, out)
        except TimeoutError as exc:
            if progress.trying is not None:
                self._note(progress.trying, is_good=False)
                progress.sent.append(progress.trying.name)
                progress.may_have_run = True
                passed = failures.DeadlinePassed('no answer')
                call_progress.tell(call, progress.trying, progress, passed)
            if progress.may_have_run:
                raise failures.DeadlinePassed(progress.names) from exc
            raise failures.DeadlineBeforeSend(
                retry_after=self._soon(RETRY_AFTER_SECONDS),
            ) from exc

    async def _try_until_answered(
        self,
        call: calls.Call,
        progress: call_progress.CallProgress,
        out: sink.Sink,
    ) -> None:
        while True:
            target = await self._next_target(call, progress)
            if await self._is_answered(call, target, progress, out):
                return

    async def _is_answered(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        progress: call_progress.CallProgress,
        out: sink.Sink,
    ) -> bool:
        """Try a target; tell whether the caller has its answer now."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        target.begin(began)
        progress.trying = target
        try:
            async with target.lifetime():
                await self._try(call, target, progress, out)
        except errors.CodedError as exc:
            self._crashing.failed(call, target, exc)
            self._learn(call, target, progress, exc)
            call_progress.tell(call, target, progress, exc)
            return False
        finally:
            target.own -= 1
            self._admission.left(call)
        target.answered()
        self._crashing.answered(call)
        self._admission.answered(call, loop.time() - began)
        return True

    async def _next_target(
        self,
        call: calls.Call,
        progress: call_progress.CallProgress,
    ) -> instances.TargetInstance:
        """Choose where to try next; raise the call's end if nowhere."""
        if progress.failure is not None and not self._may_try(call, progress):
            raise self._end(call, progress)
        if self._known.rest_seconds(call.service):
            raise self._end(call, progress)
        await self._admission.admit(call)
        tried = progress.tried
        left = call.deadline - asyncio.get_running_loop().time()
        await self._known.arrival(call.service, tried, calls.patience(left))
        target = self._known.choose(call.service, tried, progress.left)
        if target is None:
            raise self._end(call, progress)
        return target

    def _may_try(
        self, call: calls.Call, progress: call_progress.CallProgress
    ) -> bool:
        if progress.may_have_run and not self._may_repeat(call):
            return False
        # Without a number nobody knows where the next run has to go on, and
        # the caller would read the beginning twice.
        if progress.is_unnumbered:
            return False
        if len(progress.skipped) >= CONNECT_TRIES:
            return False
        if not progress.sent and not progress.refused:
            return True
        if len(progress.sent) >= call.route.attempts:
            return False
        if len(progress.refused) >= MOST_REFUSED:
            return False
        return self._budget.spend(call.service)

    def _may_repeat(self, call: calls.Call) -> bool:
        return call.route.may_repeat and self._crashing.may_repeat(call)

    async def _try(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        progress: call_progress.CallProgress,
        out: sink.Sink,
    ) -> None:
        position = call.asked.position
        if progress.position >= 0:
            position = str(progress.position)
        async with self._sender.send(call, target, position) as answer:
            is_stream = call.route.kind is configuration.Kind.STREAM
            if is_stream and answer.head.status == 200:
                await self._relay(call, answer, progress, out)
                self._note(target, is_good=True)
                return
            body = await answer.whole()
            if self._is_worth_another(call, progress, answer.head.status):
                raise target_client.Lost(f'status {answer.head.status}')
            if out.has_started:
                raise target_client.Lost(f'status {answer.head.status}')
            self._note(target, is_good=answer.head.status < FAILED_STATUS)
            await out.whole(answer.head, body)

    def _is_worth_another(
        self,
        call: calls.Call,
        progress: call_progress.CallProgress,
        status: int,
    ) -> bool:
        """Tell whether a failure of a target's own may be tried elsewhere."""
        if status < FAILED_STATUS or not call.route.may_repeat:
            return False
        if len(progress.sent) + 1 >= call.route.attempts:
            return False
        return self._budget.has_room(call.service)

    async def _relay(
        self,
        call: calls.Call,
        answer: target_client.TargetResponse,
        progress: call_progress.CallProgress,
        out: sink.Sink,
    ) -> None:
        """Pass events on as they come, each at most once and in order."""
        splitter = sse.EventSplitter()
        now = asyncio.get_running_loop().time()
        figures.FIRST_SECONDS.labels(call.service).observe(now - call.arrived)
        if not out.has_started:
            await out.start(answer.head)
        out.tempo.target = (
            '' if progress.trying is None else progress.trying.name
        )
        async for piece in answer.pieces():
            ready = []
            for event in splitter.feed(piece):
                if 0 <= event.number <= progress.position:
                    continue
                progress.position = max(progress.position, event.number)
                progress.is_unnumbered |= event.number < 0
                ready.append(event.payload)
            if ready:
                self._admission.heard(call)
                self._note_pause(call, out.tempo, len(ready))
                await out.write(b''.join(ready))
        if splitter.rest:
            await out.write(splitter.rest)
        await out.finish()

    def _note_pause(
        self,
        call: calls.Call,
        tempo: tempos.StreamTiming,
        pieces: int,
    ) -> None:
        if not tempo.last_at:
            return
        pause = asyncio.get_running_loop().time() - tempo.last_at
        self._admission.note_pause(call, pause / pieces)

    def _learn(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        progress: call_progress.CallProgress,
        failure: errors.CodedError,
    ) -> None:
        progress.failure = failure
        progress.trying = None
        now = asyncio.get_running_loop().time()
        if isinstance(failure, target_client.NotSent):
            target.failed(now)
            progress.skipped.add(target.name)
            return
        if isinstance(failure, target_client.Elsewhere):
            # The target that was meant never saw it, so it is no try at one.
            self._known.gone(target)
            progress.skipped.add(target.name)
            return
        if isinstance(failure, (target_client.Refused, target_client.Lost)):
            # All ranks of a group refuse or lose what they have when one is lost.
            progress.left.add(target.group)
            self._note(target, is_good=False)
        if isinstance(failure, target_client.Refused):
            self._admission.refused(call, target.name)
            progress.refused.append(target.name)
            return
        progress.sent.append(target.name)
        progress.may_have_run = True

    def _note(self, target: instances.TargetInstance, *, is_good: bool) -> None:
        """Note how a call has ended at a target."""
        now = asyncio.get_running_loop().time()
        target.record.note(is_good=is_good, now=now)

    def _end(
        self,
        call: calls.Call,
        progress: call_progress.CallProgress,
    ) -> errors.CodedError:
        """Tell the caller's end: not run, or may have run."""
        if progress.may_have_run:
            return failures.TargetFailed(str(progress.failure))
        rest = self._known.rest_seconds(call.service)
        if rest:
            # The first to come back is the only one to be taken at once.
            spread = self._random.uniform(0, RETURN_SECONDS)
            return failures.TargetsRest(retry_after=rest + spread)
        if progress.refused and self._admission.is_closed(call):
            return failures.GroupClosed(
                retry_after=self._soon(CLOSED_SECONDS),
            )
        if progress.sent or progress.refused:
            return failures.TargetsFull(
                retry_after=self._soon(RETRY_AFTER_SECONDS),
            )
        return failures.NoTargetReady(
            retry_after=self._soon(NO_TARGET_SECONDS),
        )

    def _soon(self, seconds: float) -> float:
        """Spread a time to come back, so that callers don't as one."""
        return seconds * self._random.uniform(0.7, 1.5)
