"""Run calls: admission, attempts, retries and resumed streams."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets

import attrs

from tamarackthread.entry import (
    attempt,
    call_claim,
    failures,
    fleet,
    keyed_claim,
    responses,
)
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import admission, calls, refusals, retries
from tamarackthread.shared import claim_errors, errors, target_errors

CALL_ID_BYTES = 16
_BudgetKey = tuple[str, generated.Retries]
_TARGET_ERRORS = (
    errors.StreamBroken,
    errors.LinkLost,
    target_errors.TargetSilent,
    target_errors.TargetUnreachable,
    target_errors.TargetBroke,
)
_log = logging.getLogger('tamarackthread.entry')


@attrs.frozen
class Call:
    """One caller's request, completely read and parsed."""

    request_id: str
    service: str
    kind: str
    profile: generated.Profile
    facts: calls.CallFacts
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str = ''
    home_region: str = ''

    @property
    def is_model(self) -> bool:
        """Return whether the call goes to a model engine."""
        return self.kind == 'model'

    @property
    def is_keyed(self) -> bool:
        """Return whether the call needs its idempotency key."""
        return bool(self.key) and not self.facts.idempotent


@attrs.define(eq=False)
class _CallState:
    """The state of a call over all its attempts."""

    call: Call
    sink: responses.Sink
    progress: attempt.Progress
    facts: calls.CallFacts
    excluded: frozenset[str] = frozenset()
    attempts: int = 0
    resumed: int = 0
    may_have_run: bool = False
    claim: call_claim.CallClaim | None = None


class CallRunner:
    """Admit calls, send them to targets, retry if safe, resume streams."""

    def __init__(
        self,
        targets: fleet.Fleet,
        rng: random.Random,
        revision: fleet.RevisionSource,
        claims: keyed_claim.KeyedClaims,
    ) -> None:
        """Run calls on the fleet's targets."""
        self._fleet = targets
        self._rng = rng
        self._revision = revision
        self._claims = claims
        self._budgets: dict[_BudgetKey, retries.RetryBudget] = {}

    async def run(self, call: Call, sink: responses.Sink) -> None:
        """Run a call to its end; raise the coded error for the caller."""
        state = _CallState(call, sink, attempt.Progress(), call.facts)
        loop = asyncio.get_running_loop()
        self._budget(call).earn(loop.time())
        if call.facts.idempotent:
            await self._run_in_time(state)
            return
        await self._run_claimed(state)

    async def correct_refusal(
        self, call: Call, failure: errors.CodedError
    ) -> None:
        """Set a refusal's ``ran`` by what is known of the call's key."""
        if call.is_keyed:
            await self._claim_of(call).fail(failure)

    async def _run_in_time(self, state: _CallState) -> None:
        try:
            async with asyncio.timeout_at(state.call.facts.deadline):
                await self._run_attempts(state)
        except TimeoutError as exc:
            raise _deadline_error(state) from exc

    async def _run_claimed(self, state: _CallState) -> None:
        claim = self._claim_of(state.call)
        state.claim = claim
        state.sink = claim.wrap_sink(state.sink)
        try:
            await self._run_in_time(state)
        except asyncio.CancelledError:
            claim.abandon(state.may_have_run)
            raise
        except errors.CodedError as exc:
            await claim.fail(exc)
            raise
        claim.succeed()

    def _claim_of(self, call: Call) -> call_claim.CallClaim:
        if not call.is_keyed:
            return self._claims.create_unkeyed(call.facts.deadline)
        return self._claims.create(
            keyed_claim.Request(
                facts=call.facts,
                rules=call.profile.claims,
                home_region=call.home_region,
                key=call.key,
                method=call.method,
                path=call.path,
                body=call.body,
            ),
        )

    async def _run_attempts(self, state: _CallState) -> None:
        is_answered = False
        while not is_answered:
            state.attempts += 1
            try:
                is_answered = await self._try_attempt(state)
            except errors.CodedError as exc:
                raise _with_overall_ran(state, exc) from exc

    async def _try_attempt(self, state: _CallState) -> bool:
        """Make one attempt; return whether the caller has a response."""
        try:
            await self._run_attempt(state)
        except keyed_claim.ClaimedElsewhere as exc:
            resolved = await self._resolve(state, exc.reply)
            return resolved is not None and not resolved.granted
        except attempt.AttemptFailed as exc:
            return await self._handle_failure(state, exc)
        return True

    async def _run_attempt(self, state: _CallState) -> None:
        pool = self._fleet.pool(state.call.service)
        if state.excluded.issuperset(pool.connections):
            state.excluded = frozenset()
        facts = attrs.evolve(state.facts, excluded=state.excluded)
        ticket = await pool.admission.submit(facts)
        try:
            await self._hand_over(state, pool, ticket)
        except attempt.AttemptFailed as exc:
            state.facts = attrs.evolve(
                ticket.resumed,
                resume_offset=state.progress.events,
            )
            pool.record_result(
                ticket.target, is_success=not _is_target_fault(exc)
            )
            raise
        finally:
            ticket.release()
        pool.record_result(ticket.target, is_success=True)

    async def _hand_over(
        self,
        state: _CallState,
        pool: fleet.Pool,
        ticket: admission.Ticket,
    ) -> None:
        connection = pool.connections.get(ticket.target)
        if connection is None:
            raise refusals.NoTarget(ticket.target)
        state.excluded |= {ticket.target}
        opening = self._opening(state, ticket.target)
        if state.claim is not None:
            await self._record_handover(state.claim, opening, connection)
        running = attempt.Attempt(
            connection,
            ticket,
            state.sink,
            state.progress,
        )
        try:
            await self._run_unless_preempted(state, running, ticket, opening)
        except asyncio.CancelledError:
            # After the deadline or a disconnect of the caller, the target may
            # go on with the call.
            state.may_have_run |= running.handed_over
            raise

    async def _record_handover(
        self,
        claim: call_claim.CallClaim,
        opening: messages.OpenCall,
        connection: fleet.TargetConnection,
    ) -> None:
        try:
            await claim.record_handover(opening, connection)
        except failures.ConnectionSilent as exc:
            raise attempt.AttemptFailed(exc, messages.Ran.NOT_RUN) from exc

    async def _run_unless_preempted(
        self,
        state: _CallState,
        running: attempt.Attempt,
        ticket: admission.Ticket,
        opening: messages.OpenCall,
    ) -> None:
        body = state.call.body
        if not state.call.is_model:
            await running.run(opening, body)
            return
        loop = asyncio.get_running_loop()
        watcher = loop.create_task(_preempt_on_request(ticket, running))
        try:
            await running.run(opening, body)
        finally:
            watcher.cancel()

    def _opening(self, state: _CallState, target: str) -> messages.OpenCall:
        call = state.call
        left = call.facts.deadline - asyncio.get_running_loop().time()
        return messages.OpenCall(
            call_id=secrets.token_bytes(CALL_ID_BYTES),
            service_name=call.service,
            target=target,
            organisation=call.facts.organisation,
            method=call.method,
            path=call.path,
            headers=[
                messages.Header(name=name, value=value)
                for name, value in call.headers
            ],
            idempotent=call.facts.idempotent,
            priority=int(call.facts.priority),
            deadline_ms=int(left * 1000),
            config_revision=self._revision(),
            resume_events=state.progress.events,
            attempt=state.attempts,
            request_id=call.request_id,
        )

    async def _resolve(
        self,
        state: _CallState,
        reply: messages.ClaimReply | None,
    ) -> messages.ClaimReply | None:
        """Resolve the call's claim and replay its response, if any."""
        assert state.claim is not None
        resolved = await state.claim.resolve(reply)
        if resolved is not None and not resolved.granted:
            await call_claim.replay(resolved, state.sink)
        return resolved

    async def _handle_failure(
        self,
        state: _CallState,
        failed: attempt.AttemptFailed,
    ) -> bool:
        """Resolve a claimed call or prepare a retry; return if answered."""
        is_lost = failed.ran != messages.Ran.NOT_RUN
        if state.claim is not None and is_lost and not state.sink.started:
            # The agent goes on with a claimed call after the link is lost,
            # and returns its outcome or proves that it never started.
            before = state.may_have_run
            state.may_have_run = True
            resolved = await self._resolve(state, None)
            if resolved is not None:
                state.may_have_run = before
                failed.ran = messages.Ran.NOT_RUN
                failed.cause.ran = messages.Ran.NOT_RUN
                if not resolved.granted:
                    return True
        await self._prepare_retry(state, failed)
        return False

    async def _prepare_retry(
        self, state: _CallState, failed: attempt.AttemptFailed
    ) -> None:
        """Wait for the backoff, or raise if the call must not be retried."""
        cause = failed.cause
        if failed.ran != messages.Ran.NOT_RUN:
            state.may_have_run = True
        _log.info('entry: attempt %d failed, %s', state.attempts, failed)
        if isinstance(cause, failures.CallerTooSlow | failures.CallerGone):
            raise _with_overall_ran(state, cause) from failed
        if state.sink.started:
            self._check_resume(state, failed)
        if isinstance(cause, refusals.CallPreempted):
            state.attempts -= 1
            return
        delay = self._retry_policy(state).delay(
            state.call.facts,
            failed.ran,
            state.attempts,
            asyncio.get_running_loop().time(),
        )
        if delay is None:
            raise _with_overall_ran(state, cause) from failed
        await asyncio.sleep(delay)

    def _check_resume(
        self,
        state: _CallState,
        failed: attempt.AttemptFailed,
    ) -> None:
        rules = state.call.profile.resume
        if not isinstance(failed.cause, refusals.CallPreempted):
            state.resumed += 1
        resumable = state.progress.is_event_stream and state.call.is_model
        if resumable and rules.enabled and state.resumed <= rules.attempts:
            return
        raise _with_overall_ran(state, failed.cause) from failed

    def _retry_policy(self, state: _CallState) -> retries.RetryPolicy:
        rules = state.call.profile.retries
        return retries.BudgetedRetry(
            self._budget(state.call),
            self._rng,
            retries.RetrySettings(attempts=rules.attempts),
        )

    def _budget(self, call: Call) -> retries.RetryBudget:
        rules = call.profile.retries
        key = (call.service, rules)
        budget = self._budgets.get(key)
        if budget is None:
            budget = retries.RetryBudget(
                retries.RetrySettings(
                    ratio=rules.budget_share,
                    min_rate=rules.budget_per_second,
                ),
                asyncio.get_running_loop().time(),
            )
            self._budgets[key] = budget
        return budget


async def _preempt_on_request(
    ticket: admission.Ticket,
    running: attempt.Attempt,
) -> None:
    """Preempt an attempt when its ticket is preempted."""
    await ticket.preempted.wait()
    running.preempt()


def _is_target_fault(failed: attempt.AttemptFailed) -> bool:
    """Return whether a failure counts against the target; refusals don't."""
    return isinstance(failed.cause, _TARGET_ERRORS)


def _with_overall_ran(
    state: _CallState, failure: errors.CodedError
) -> errors.CodedError:
    """Mark the last failure as may have run if any attempt may have."""
    # Told that the call has not run, the caller would repeat it.
    if state.may_have_run:
        failure.ran = messages.Ran.MAY_HAVE_RUN
    return failure


def _deadline_error(state: _CallState) -> errors.CodedError:
    if state.claim is not None and state.claim.is_in_doubt:
        return claim_errors.ClaimStillRunning()
    if state.may_have_run:
        return failures.DeadlineExceeded()
    return failures.DeadlineBeforeStart()
