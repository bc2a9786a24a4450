"""Run a call at targets, with retries, until it is answered or fails."""

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
    stream_relay,
    target_client,
    targets,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, stop_deadline
from tamarackthread.shared.site import site_metrics

# A failed connection costs a target nothing, but the caller waits for it.
MAX_CONNECT_FAILURES = 4
# Refusals don't count as attempts, since the call has not run.  One target may
# refuse by chance; two indicate that the service is full.
MAX_REFUSALS = 2
# Longer than a full target usually takes to free a slot.
FULL_RETRY_AFTER_SECONDS = 0.25
NO_TARGET_RETRY_AFTER_SECONDS = 0.5
# About the time in which a group that has lost a rank recovers.
CLOSED_RETRY_AFTER_SECONDS = 2.0
# Spreads the retries of callers that were refused during a cooldown.
COOLDOWN_JITTER_SECONDS = 1.0
# Responses with at least this status are failures of the target.
MIN_ERROR_STATUS = 500


class CallRunner:
    """Run calls at the targets of their services."""

    def __init__(
        self,
        all_targets: targets.Targets,
        client: target_client.TargetClient,
        budget: retry_budgets.RetryBudgets,
        admission: admission_control.AdmissionControl,
        poison: poison_requests.PoisonRequests,
        generator: random.Random,
        stopping: stop_deadline.StopDeadline,
    ) -> None:
        """Select among ``all_targets`` and send with ``client``."""
        self._stopping = stopping
        self._poison = poison
        self._targets = all_targets
        self._admission = admission
        self._relay = stream_relay.StreamRelay(admission, poison)
        self._client = client
        self._budget = budget
        self._random = generator

    async def run(
        self, call: calls.Call, out: sink.Sink
    ) -> call_progress.CallProgress:
        """Send the caller an answer, or raise a coded error.

        The error says whether the call may have run; part of the answer may
        have been sent by then.
        """
        self._poison.check(call)
        progress = call_progress.CallProgress()
        self._budget.earn(call.service)
        try:
            async with self._stopping.timeout_at(call.deadline):
                await self._try_until_answered(call, progress, out)
        except TimeoutError as exc:
            raise self._timeout_error(call, progress) from exc
        except errors.CodedError as exc:
            if progress.may_have_run and exc.ran == messages.Ran.NOT_RUN:
                # Only the last try was refused.
                raise failures.TargetFailed(str(progress.failure)) from exc
            raise
        return progress

    def _timeout_error(
        self, call: calls.Call, progress: call_progress.CallProgress
    ) -> errors.CodedError:
        """Return the error for a call that ran out of time."""
        is_stopped = self._stopping.ends_at < call.deadline
        late = failures.CutByStop if is_stopped else failures.DeadlinePassed
        target = progress.current_target
        if target is not None:
            # A target that this entry has cut off is not to blame.
            if not is_stopped:
                self._record_outcome(target, is_good=False)
            progress.sent.append(target.name)
            progress.may_have_run = True
            call_progress.log_failed_try(
                call, target, progress, late('no answer')
            )
        if progress.may_have_run:
            return late(progress.names)
        if is_stopped:
            return failures.EntryStops()
        return failures.DeadlineBeforeSend(
            retry_after=self._jittered(FULL_RETRY_AFTER_SECONDS),
        )

    async def _try_until_answered(
        self,
        call: calls.Call,
        progress: call_progress.CallProgress,
        out: sink.Sink,
    ) -> None:
        while True:
            target = await self._next_target(call, progress)
            if await self._try_target(call, target, progress, out):
                return

    async def _try_target(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        progress: call_progress.CallProgress,
        out: sink.Sink,
    ) -> bool:
        """Try one target; tell whether the caller has its complete answer."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        target.begin_call(started_at)
        progress.begin_try(target)
        try:
            async with target.lifetime():
                await self._send(call, target, progress, out)
        except errors.CodedError as exc:
            self._poison.note_failure(call, target, progress, exc)
            self._record_failure(call, target, progress, exc)
            call_progress.log_failed_try(call, target, progress, exc)
            return False
        finally:
            self._end_try(call, target, progress)
        target.reset_backoff()
        self._admission.record_answer(call, loop.time() - started_at)
        return True

    def _end_try(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        progress: call_progress.CallProgress,
    ) -> None:
        target.own_calls -= 1
        self._admission.release(call)
        if progress.body is not None:
            site_metrics.ANSWERS_ENDED.labels(
                call.service, progress.body.framing, progress.body.ending
            ).inc()

    async def _next_target(
        self,
        call: calls.Call,
        progress: call_progress.CallProgress,
    ) -> instances.TargetInstance:
        """Select the next target; raise the final error if none is left."""
        if progress.failure is not None:
            if not self._may_retry(call, progress):
                raise self._final_error(call, progress)
            self._count_repeat(call, progress.failure)
        if self._targets.cooldown_seconds(call.service):
            raise self._final_error(call, progress)
        await self._admission.admit(call)
        tried = progress.tried
        time_left = call.deadline - asyncio.get_running_loop().time()
        await self._targets.wait_for_target(
            call.service, tried, calls.startup_wait(time_left)
        )
        self._poison.check(call)
        target = self._targets.choose(
            call.service, tried, progress.failed_groups
        )
        if target is None:
            raise self._final_error(call, progress)
        return target

    def _may_retry(
        self, call: calls.Call, progress: call_progress.CallProgress
    ) -> bool:
        if progress.may_have_run and not self._may_repeat(call):
            return False
        # Without event ids the stream can't be resumed, and the caller would
        # get its first events twice.
        if progress.is_unnumbered:
            return False
        if len(progress.unreachable) >= MAX_CONNECT_FAILURES:
            return False
        if not progress.has_arrived:
            return True
        if len(progress.sent) >= call.route.attempts:
            return False
        if len(progress.refused) >= MAX_REFUSALS:
            return False
        return self._budget.spend(call.service)

    def _count_repeat(
        self, call: calls.Call, failure: errors.CodedError
    ) -> None:
        reason = 'other'
        if isinstance(failure, target_client.TryFailure):
            reason = failure.reason
        self._budget.count_repeat(call.service, reason)

    def _may_repeat(self, call: calls.Call) -> bool:
        return call.route.is_retryable and self._poison.may_repeat(call)

    async def _send(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        progress: call_progress.CallProgress,
        out: sink.Sink,
    ) -> None:
        last_event_id = call.request.last_event_id
        if progress.last_event >= 0:
            last_event_id = str(progress.last_event)
        async with self._client.send(call, target, last_event_id) as answer:
            progress.body = answer.trace
            if stream_relay.is_event_stream(call, answer.head):
                await self._relay.run(call, answer, progress, out)
                if progress.relayed_events:
                    self._poison.note_whole(call)
                self._record_outcome(target, is_good=True)
                return
            body = await stream_relay.read_whole(answer)
            if self._should_retry_error(call, progress, answer.head.status):
                raise target_client.Lost(f'status {answer.head.status}')
            if out.has_started:
                raise target_client.Lost(f'status {answer.head.status}')
            self._record_outcome(
                target, is_good=answer.head.status < MIN_ERROR_STATUS
            )
            if answer.head.is_success:
                self._poison.note_whole(call)
            await out.whole(answer.head, body)

    def _should_retry_error(
        self,
        call: calls.Call,
        progress: call_progress.CallProgress,
        status: int,
    ) -> bool:
        """Tell whether an error response may be retried at another target."""
        if status < MIN_ERROR_STATUS or not call.route.is_retryable:
            return False
        if len(progress.sent) + 1 >= call.route.attempts:
            return False
        return self._budget.has_room(call.service)

    def _record_failure(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        progress: call_progress.CallProgress,
        failure: errors.CodedError,
    ) -> None:
        progress.failure = failure
        progress.current_target = None
        now = asyncio.get_running_loop().time()
        if isinstance(failure, target_client.NotSent):
            target.back_off(now)
            progress.unreachable.add(target.name)
            return
        if isinstance(failure, target_client.Elsewhere):
            # The intended target never got the call, so this is no attempt.
            self._targets.mark_gone(target)
            progress.unreachable.add(target.name)
            progress.was_elsewhere = True
            return
        if isinstance(failure, (target_client.Refused, target_client.Lost)):
            # When a rank is lost, all ranks of its group fail their calls.
            progress.failed_groups.add(target.group)
            self._record_outcome(target, is_good=False)
        if isinstance(failure, target_client.Refused):
            self._admission.note_refusal(call, target.name)
            progress.refused.append(target.name)
            return
        progress.sent.append(target.name)
        progress.may_have_run = True

    def _record_outcome(
        self, target: instances.TargetInstance, *, is_good: bool
    ) -> None:
        """Record the outcome of a call at a target."""
        now = asyncio.get_running_loop().time()
        target.outcomes.note(is_good=is_good, now=now)

    def _final_error(
        self,
        call: calls.Call,
        progress: call_progress.CallProgress,
    ) -> errors.CodedError:
        """Return the error for the caller: not run, or may have run."""
        if progress.may_have_run:
            return failures.TargetFailed(str(progress.failure))
        cooldown = self._targets.cooldown_seconds(call.service)
        if cooldown:
            # Returning callers are spread, since one trial call ends the
            # cooldown.
            jitter = self._random.uniform(0, COOLDOWN_JITTER_SECONDS)
            return failures.TargetsRest(retry_after=cooldown + jitter)
        if progress.refused and self._admission.is_closed(call):
            return failures.GroupClosed(
                retry_after=self._jittered(CLOSED_RETRY_AFTER_SECONDS),
            )
        if progress.sent or progress.refused:
            return failures.TargetsFull(
                retry_after=self._jittered(FULL_RETRY_AFTER_SECONDS),
            )
        return failures.NoTargetReady(
            retry_after=self._jittered(NO_TARGET_RETRY_AFTER_SECONDS),
        )

    def _jittered(self, seconds: float) -> float:
        """Add jitter to a retry time, so that callers don't return together."""
        return seconds * self._random.uniform(0.7, 1.5)
