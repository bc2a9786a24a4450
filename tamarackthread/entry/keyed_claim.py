"""Claim the keys of non-idempotent calls before each handover.

The claim names the agent, so that others know whom to ask if this process
dies after the handover.
"""

from __future__ import annotations

import asyncio
import collections.abc
import logging

import attrs

from tamarackthread.entry import (
    call_claim,
    claim_client,
    fleet,
    recording,
    responses,
    takeover,
    unkeyed_claim,
)
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import calls
from tamarackthread.shared import (
    claim_errors,
    claim_keys,
    claim_times,
    errors,
    metrics,
)

RELEASE_SECONDS = 1.0
RECORD_SECONDS = 60.0
_State = messages.ClaimState
_log = logging.getLogger('tamarackthread.claims')


class ClaimedElsewhere(errors.CodedError):
    """Another request holds the key's claim, which must be resolved first."""

    code = 'TT4520'
    status = 409
    ran = messages.Ran.MAY_HAVE_RUN

    def __init__(self, reply: messages.ClaimReply) -> None:
        """Keep the shard's reply."""
        super().__init__(reply.holder or '')
        self.reply = reply


@attrs.frozen
class Request:
    """The parts of a call that its claim needs."""

    facts: calls.CallFacts
    rules: generated.Claims
    home_region: str
    key: str
    method: str
    path: str
    body: bytes


class KeyedClaim(call_claim.CallClaim):
    """The claim of one keyed call over all its attempts."""

    def __init__(
        self,
        owner: KeyedClaims,
        claimant: claim_client.Claimant,
        rules: generated.Claims,
    ) -> None:
        """Claim nothing yet; the first ``record_handover`` does."""
        self._owner = owner
        self._claimant = claimant
        self._rules = rules
        self._grant: messages.ClaimReply | None = None
        self._is_requested = False
        self._sink: recording.RecordingSink | None = None

    @property
    def is_in_doubt(self) -> bool:
        """Return whether this claim was requested without a grant, so that an
        earlier request with the same key may have run.
        """
        return self._is_requested and self._grant is None

    def wrap_sink(self, sink: responses.Sink) -> responses.Sink:
        """Record the response for later requests, up to the size limit."""
        limit = self._rules.answer_limit_bytes
        self._sink = recording.RecordingSink(sink, limit)
        return self._sink

    async def record_handover(
        self,
        opening: messages.OpenCall,
        connection: fleet.TargetConnection,
    ) -> None:
        """Claim the handover; raise ``ClaimedElsewhere`` if not granted."""
        handover = call_claim.build_handover(
            connection, self._claimant.deadline
        )
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = await self._claim_or_move(handover)
        counters = self._owner.metrics
        counters.time(metrics.Timer.CLAIM, loop.time() - began)
        if not reply.granted:
            self._grant = None
            counters.count(metrics.Counter.CLAIM_REPEATED)
            raise ClaimedElsewhere(reply)
        if self._grant is None:
            counters.count(metrics.Counter.CLAIM_GRANTED)
        self._grant = reply
        opening.claim = self._claimant.name
        opening.fence = reply.fence
        opening.handover = handover

    async def resolve(
        self,
        reply: messages.ClaimReply | None = None,
    ) -> messages.ClaimReply | None:
        """Return a complete response or a grant from a takeover, or raise."""
        # Without ``reply``, the link was lost under this entry's own grant.  As
        # ``granted``, the resolver would return it without a takeover.
        if reply is None:
            assert self._grant is not None
            reply = self._grant
            reply.granted = False
        self._grant = None
        loop = asyncio.get_running_loop()
        latest = loop.time() + self._rules.wait_seconds
        until = min(self._claimant.deadline, latest)
        resolved = await self._owner.resolver.resolve(
            self._claimant, reply, until
        )
        if resolved.granted:
            self._grant = resolved
        return resolved

    def succeed(self) -> None:
        """Record the complete response in the background."""
        if self._grant is None or self._sink is None:
            return
        outcome = self._sink.claim_outcome()
        self._owner.run_in_background(self._finish(self._grant, outcome))

    async def fail(self, failure: errors.CodedError) -> None:
        """Record a failure and set its ``ran`` for the whole key."""
        if failure.ran != messages.Ran.NOT_RUN:
            self._owner.metrics.count(metrics.Counter.CLAIM_UNKNOWN)
            self.abandon(handed_over=True)
            return
        # The claim is of another request and must not be released.
        if isinstance(failure, claim_errors.ClaimKeyReused):
            return
        # After 'not run', a caller may repeat the call under a new key, so that
        # is reported only if no try with this key may have run.
        try:
            async with asyncio.timeout(RELEASE_SECONDS):
                is_free = await self._release()
        except (TimeoutError, errors.CodedError):
            is_free = False
        if not is_free:
            failure.ran = messages.Ran.MAY_HAVE_RUN

    def abandon(self, handed_over: bool) -> None:
        """Record the outcome in the background after a disconnect."""
        grant = self._grant
        if grant is None:
            return
        if handed_over:
            self._owner.run_in_background(self._record_outcome(grant))
            return
        released = claim_client.Outcome(_State.RELEASED)
        self._owner.run_in_background(self._finish(grant, released))

    async def _claim_or_move(
        self,
        handover: messages.Handover,
    ) -> messages.ClaimReply:
        client = self._owner.client
        grant = self._grant
        if grant is None:
            self._is_requested = True
            grant = await client.claim(self._claimant, handover)
            if not grant.granted or grant.handover == handover:
                return grant
        return await client.move(self._claimant, grant, handover)

    async def _release(self) -> bool:
        client = self._owner.client
        if self._grant is None:
            reply = await client.wait(self._claimant, 0)
        else:
            released = claim_client.Outcome(_State.RELEASED)
            reply = await client.finish(self._claimant, self._grant, released)
        return not reply.known or reply.state == _State.RELEASED

    async def _finish(
        self,
        grant: messages.ClaimReply,
        outcome: claim_client.Outcome,
    ) -> None:
        await self._owner.client.finish(self._claimant, grant, outcome)

    async def _record_outcome(self, grant: messages.ClaimReply) -> None:
        until = asyncio.get_running_loop().time() + RECORD_SECONDS
        await self._owner.resolver.record_outcome(self._claimant, grant, until)


class KeyedClaims:
    """Create claims of calls and record outcomes in the background."""

    def __init__(
        self,
        client: claim_client.ClaimClient,
        resolver: takeover.Takeover,
        counters: metrics.Metrics | None = None,
    ) -> None:
        """Share the client and the resolver among all claims."""
        self._metrics = counters or metrics.Metrics()
        self._client = client
        self._resolver = resolver
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def client(self) -> claim_client.ClaimClient:
        """Return the client of the shards."""
        return self._client

    @property
    def metrics(self) -> metrics.Metrics:
        """Return the metrics that count the claims."""
        return self._metrics

    @property
    def resolver(self) -> takeover.Takeover:
        """Return the resolver of claims with an unknown outcome."""
        return self._resolver

    def create(self, request: Request) -> KeyedClaim:
        """Create the claim of a keyed call."""
        rules = request.rules
        claimant = claim_client.Claimant(
            organisation=request.facts.organisation,
            key=request.key,
            digest=claim_keys.digest(
                request.method,
                request.path,
                request.body,
            ),
            deadline=request.facts.deadline,
            home_region=rules.shard_region or request.home_region,
            keep_ms=int(rules.keep_seconds * claim_times.MILLISECONDS),
        )
        return KeyedClaim(self, claimant, rules)

    def create_unkeyed(self, deadline: float) -> unkeyed_claim.UnkeyedClaim:
        """Create the claim of a call without a key."""
        return unkeyed_claim.UnkeyedClaim(self._resolver.prober, deadline)

    def run_in_background(
        self,
        work: collections.abc.Coroutine[None, None, None],
    ) -> None:
        """Run a coroutine without making the caller wait."""
        task = asyncio.get_running_loop().create_task(_log_errors(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_idle(self, seconds: float) -> None:
        """Wait up to ``seconds`` until all outcomes are recorded."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=seconds)


async def _log_errors(
    work: collections.abc.Coroutine[None, None, None],
) -> None:
    try:
        await work
    except errors.CodedError as exc:
        _log.warning('claims: outcome not recorded, %s %s', exc.code, exc)
