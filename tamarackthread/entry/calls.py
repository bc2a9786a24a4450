"""Take a call from admission to its one truthful outcome."""

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
_BROKEN = (
    errors.StreamBroken,
    errors.LinkLost,
    target_errors.TargetSilent,
    target_errors.TargetUnreachable,
    target_errors.TargetBroke,
)
_log = logging.getLogger('tamarackthread.entry')


@attrs.frozen
class Call:
    """One caller's request, read whole and understood.

    ``deadline`` is in the loop's seconds.
    """

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
        """Tell whether the call goes to a model engine."""
        return self.kind == 'model'

    @property
    def is_keyed(self) -> bool:
        """Tell whether the call must not repeat and has a key to ensure it."""
        return bool(self.key) and not self.facts.idempotent


@attrs.define(eq=False)
class _Life:
    """What is known of a call over all its attempts."""

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
    """Run calls: admit, hand over, retry where that is safe, resume."""

    def __init__(
        self,
        targets: fleet.Fleet,
        rng: random.Random,
        revision: fleet.RevisionSource,
        claimed: keyed_claim.KeyedClaims,
    ) -> None:
        """Run against the fleet's targets."""
        self._fleet = targets
        self._rng = rng
        self._revision = revision
        self._claimed = claimed
        self._budgets: dict[_BudgetKey, retries.RetryBudget] = {}

    async def run(self, call: Call, sink: responses.Sink) -> None:
        """Run a call to its end.

        Raises the coded error that the caller must see, with ``ran`` set to
        what is known over all attempts.
        """
        life = _Life(call, sink, attempt.Progress(), call.facts)
        loop = asyncio.get_running_loop()
        self._budget(call).earn(loop.time())
        if call.facts.idempotent:
            await self._run_in_time(life)
            return
        await self._run_claimed(life)

    async def correct_refusal(
        self, call: Call, failure: errors.CodedError
    ) -> None:
        """Make a refusal before the run truthful for another try's key."""
        if call.is_keyed:
            await self._claim_of(call).fail(failure)

    async def _run_in_time(self, life: _Life) -> None:
        try:
            async with asyncio.timeout_at(life.call.facts.deadline):
                await self._attempts(life)
        except TimeoutError as exc:
            raise _past_deadline(life) from exc

    async def _run_claimed(self, life: _Life) -> None:
        claim = self._claim_of(life.call)
        life.claim = claim
        life.sink = claim.wrap_sink(life.sink)
        try:
            await self._run_in_time(life)
        except asyncio.CancelledError:
            claim.abandon(life.may_have_run)
            raise
        except errors.CodedError as exc:
            await claim.fail(exc)
            raise
        claim.succeed()

    def _claim_of(self, call: Call) -> call_claim.CallClaim:
        if not call.is_keyed:
            return self._claimed.start_unkeyed(call.facts.deadline)
        return self._claimed.start(
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

    async def _attempts(self, life: _Life) -> None:
        is_answered = False
        while not is_answered:
            life.attempts += 1
            try:
                is_answered = await self._answered(life)
            except errors.CodedError as exc:
                raise _truthful(life, exc) from exc

    async def _answered(self, life: _Life) -> bool:
        """Try once; tell whether the caller has the answer."""
        try:
            await self._attempt(life)
        except keyed_claim.ClaimedElsewhere as exc:
            settled = await self._settle(life, exc.reply)
            return settled is not None and not settled.granted
        except attempt.AttemptFailed as exc:
            return await self._weigh_claimed(life, exc)
        return True

    async def _attempt(self, life: _Life) -> None:
        pool = self._fleet.pool(life.call.service)
        if life.excluded.issuperset(pool.connections):
            life.excluded = frozenset()
        facts = attrs.evolve(life.facts, excluded=life.excluded)
        ticket = await pool.admission.submit(facts)
        try:
            await self._hand_over(life, pool, ticket)
        except attempt.AttemptFailed as exc:
            life.facts = attrs.evolve(
                ticket.resumed,
                start=life.progress.events,
            )
            pool.record_result(ticket.target, is_good=not _is_broken(exc))
            raise
        finally:
            ticket.release()
        pool.record_result(ticket.target, is_good=True)

    async def _hand_over(
        self,
        life: _Life,
        pool: fleet.Pool,
        ticket: admission.Ticket,
    ) -> None:
        connection = pool.connections.get(ticket.target)
        if connection is None:
            raise refusals.NoTarget(ticket.target)
        life.excluded |= {ticket.target}
        opening = self._opening(life, ticket.target)
        if life.claim is not None:
            await self._secure(life.claim, opening, connection)
        running = attempt.Attempt(
            connection,
            ticket,
            life.sink,
            life.progress,
        )
        try:
            await self._run_unless_preempted(life, running, ticket, opening)
        except asyncio.CancelledError:
            # The deadline or the caller's leaving ends the attempt from
            # outside.  What it had handed over may go on running.
            life.may_have_run |= running.handed_over
            raise

    async def _secure(
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
        life: _Life,
        running: attempt.Attempt,
        ticket: admission.Ticket,
        opening: messages.OpenCall,
    ) -> None:
        body = life.call.body
        if not life.call.is_model:
            await running.run(opening, body)
            return
        loop = asyncio.get_running_loop()
        watching = loop.create_task(_watch(ticket, running))
        try:
            await running.run(opening, body)
        finally:
            watching.cancel()

    def _opening(self, life: _Life, target: str) -> messages.OpenCall:
        call = life.call
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
            resume_events=life.progress.events,
            attempt=life.attempts,
            request_id=call.request_id,
        )

    async def _settle(
        self,
        life: _Life,
        reply: messages.ClaimReply | None,
    ) -> messages.ClaimReply | None:
        """Settle the call's claim and give the caller its answer, if any."""
        assert life.claim is not None
        settled = await life.claim.resolve(reply)
        if settled is not None and not settled.granted:
            await call_claim.replay(settled, life.sink)
        return settled

    async def _weigh_claimed(
        self,
        life: _Life,
        failed: attempt.AttemptFailed,
    ) -> bool:
        """Weigh a failure; tell whether an answer was found all the same."""
        is_lost = failed.ran != messages.Ran.NOT_RUN
        if life.claim is not None and is_lost and not life.sink.started:
            # The agent goes on with a claimed call whose link has broken,
            # and can tell its outcome or prove that it never came.
            before = life.may_have_run
            life.may_have_run = True
            settled = await self._settle(life, None)
            if settled is not None:
                life.may_have_run = before
                failed.ran = messages.Ran.NOT_RUN
                failed.cause.ran = messages.Ran.NOT_RUN
                if not settled.granted:
                    return True
        await self._weigh(life, failed)
        return False

    async def _weigh(self, life: _Life, failed: attempt.AttemptFailed) -> None:
        """Return after a pause if another attempt is right, or raise."""
        cause = failed.cause
        if failed.ran != messages.Ran.NOT_RUN:
            life.may_have_run = True
        _log.info('entry: attempt %d failed, %s', life.attempts, failed)
        if isinstance(cause, failures.CallerTooSlow | failures.CallerGone):
            raise _truthful(life, cause) from failed
        if life.sink.started:
            self._check_resume(life, failed)
        if isinstance(cause, refusals.CallPreempted):
            life.attempts -= 1
            return
        pause = self._retry(life).delay(
            life.call.facts,
            failed.ran,
            life.attempts,
            asyncio.get_running_loop().time(),
        )
        if pause is None:
            raise _truthful(life, cause) from failed
        await asyncio.sleep(pause)

    def _check_resume(
        self,
        life: _Life,
        failed: attempt.AttemptFailed,
    ) -> None:
        rules = life.call.profile.resume
        if not isinstance(failed.cause, refusals.CallPreempted):
            life.resumed += 1
        resumable = life.progress.is_event_stream and life.call.is_model
        if resumable and rules.enabled and life.resumed <= rules.attempts:
            return
        raise _truthful(life, failed.cause) from failed

    def _retry(self, life: _Life) -> retries.RetryPolicy:
        rules = life.call.profile.retries
        return retries.BudgetedRetry(
            self._budget(life.call),
            self._rng,
            retries.RetrySettings(attempts=rules.attempts),
        )

    def _budget(self, call: Call) -> retries.RetryBudget:
        rules = call.profile.retries
        key = (call.service, rules)
        found = self._budgets.get(key)
        if found is None:
            found = retries.RetryBudget(
                retries.RetrySettings(
                    share=rules.budget_share,
                    least_rate=rules.budget_per_second,
                ),
                asyncio.get_running_loop().time(),
            )
            self._budgets[key] = found
        return found


async def _watch(
    ticket: admission.Ticket,
    running: attempt.Attempt,
) -> None:
    """Have an attempt give its place up when its ticket asks for it."""
    await ticket.preempted.wait()
    running.preempt()


def _is_broken(failed: attempt.AttemptFailed) -> bool:
    """Tell whether a failure speaks against the target that it happened at.

    A target that refuses because it leaves or is full does as it should.
    """
    return isinstance(failed.cause, _BROKEN)


def _truthful(life: _Life, failure: errors.CodedError) -> errors.CodedError:
    """Let the last failure speak for all attempts.

    The last attempt may be refused as not run after an earlier one was lost
    on its way.  Told as it is, the caller would send its order again and
    have it booked twice; so one uncertain attempt makes the whole uncertain.
    """
    if life.may_have_run:
        failure.ran = messages.Ran.MAY_HAVE_RUN
    return failure


def _past_deadline(life: _Life) -> errors.CodedError:
    if life.claim is not None and life.claim.is_in_doubt:
        return claim_errors.ClaimStillRunning()
    if life.may_have_run:
        return failures.DeadlineExceeded()
    return failures.DeadlineBeforeStart()
