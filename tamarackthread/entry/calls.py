"""Take a call from admission to its one truthful outcome."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets

import attrs

from tamarackthread.entry import answers, attempt, failures, fleet
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import admission, calls, refusals, retries
from tamarackthread.shared import errors

CALL_ID_BYTES = 16
_log = logging.getLogger('tamarackthread.entry')


@attrs.frozen
class Call:
    """Be one caller's request, read whole and understood.

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

    @property
    def is_model(self) -> bool:
        """Tell whether the call goes to a model engine."""
        return self.kind == 'model'


@attrs.define(eq=False)
class _Life:
    """Be what is known of a call over all its attempts."""

    call: Call
    sink: answers.Sink
    progress: attempt.Progress
    excluded: frozenset[str] = frozenset()
    attempts: int = 0
    resumed: int = 0
    may_have_run: bool = False


class Runner:
    """Run calls: admit, hand over, retry where that is safe, resume."""

    def __init__(
        self,
        targets: fleet.Fleet,
        rng: random.Random,
        revision: fleet.Revision,
    ) -> None:
        """Run against the fleet's targets."""
        self._fleet = targets
        self._rng = rng
        self._revision = revision
        self._budgets: dict[str, retries.RetryBudget] = {}

    async def run(self, call: Call, sink: answers.Sink) -> None:
        """Run a call to its end.

        Raises the coded error that the caller must see, with ``ran`` set to
        what is known over all attempts.
        """
        life = _Life(call, sink, attempt.Progress())
        loop = asyncio.get_running_loop()
        self._budget(call).earn(loop.time())
        try:
            async with asyncio.timeout_at(call.facts.deadline):
                await self._attempts(life)
        except TimeoutError as exc:
            raise _past_deadline(life) from exc

    async def _attempts(self, life: _Life) -> None:
        while True:
            life.attempts += 1
            try:
                await self._attempt(life)
            except attempt.AttemptFailed as exc:
                await self._weigh(life, exc)
            except errors.CodedError as exc:
                raise _truthful(life, exc) from exc
            else:
                return

    async def _attempt(self, life: _Life) -> None:
        pool = self._fleet.pool(life.call.service)
        if life.excluded.issuperset(pool.contacts):
            life.excluded = frozenset()
        facts = attrs.evolve(life.call.facts, excluded=life.excluded)
        ticket = await pool.admission.submit(facts)
        try:
            await self._hand_over(life, pool, ticket)
        finally:
            ticket.release()

    async def _hand_over(
        self,
        life: _Life,
        pool: fleet.Pool,
        ticket: admission.Ticket,
    ) -> None:
        contact = pool.contacts.get(ticket.target)
        if contact is None:
            raise refusals.NoTarget(ticket.target)
        life.excluded |= {ticket.target}
        opening = self._opening(life, ticket.target)
        running = attempt.Attempt(
            contact,
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

    async def _run_unless_preempted(
        self,
        life: _Life,
        running: attempt.Attempt,
        ticket: admission.Ticket,
        opening: messages.OpenCall,
    ) -> None:
        body = life.call.body
        if life.call.facts.priority != calls.Priority.BACKGROUND:
            await running.run(opening, body)
            return
        loop = asyncio.get_running_loop()
        work = loop.create_task(running.run(opening, body))
        giving_way = loop.create_task(ticket.preempted.wait())
        try:
            await asyncio.wait(
                (work, giving_way),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if work.done():
                await work
                return
        finally:
            giving_way.cancel()
            work.cancel()
        await asyncio.wait((work,))
        raise attempt.AttemptFailed(
            refusals.CallPreempted(),
            attempt.known(running),
        )

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

    async def _weigh(self, life: _Life, failed: attempt.AttemptFailed) -> None:
        """Return after a pause if another attempt is right, or raise."""
        cause = failed.cause
        if failed.ran != messages.Ran.NOT_RUN:
            life.may_have_run = True
        _log.info('entry: attempt %d failed, %s', life.attempts, failed)
        if isinstance(cause, failures.CallerTooSlow):
            raise _truthful(life, cause) from failed
        if life.sink.started:
            self._check_resume(life, failed)
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
        resumable = life.progress.is_events and life.call.is_model
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
        found = self._budgets.get(call.service)
        if found is None:
            rules = call.profile.retries
            found = retries.RetryBudget(
                retries.RetrySettings(
                    share=rules.budget_share,
                    least_rate=rules.budget_per_second,
                ),
                asyncio.get_running_loop().time(),
            )
            self._budgets[call.service] = found
        return found


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
    if life.may_have_run:
        return failures.DeadlineExceeded()
    return failures.DeadlineBeforeStart()
