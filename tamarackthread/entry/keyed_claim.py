"""Carry one keyed call that must not repeat through its claim.

Every hand-over is recorded at the claim's shard before the first byte of it
leaves, so that whoever comes after this process's death knows which agent to
ask.
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

SETTLE_SECONDS = 1.0
COLLECT_SECONDS = 60.0
_State = messages.ClaimState
_log = logging.getLogger('tamarackthread.claims')


class ClaimedElsewhere(errors.CodedError):
    """Another try has claimed the key; its claim must be settled first."""

    code = 'TT4520'
    status = 409
    ran = messages.Ran.MAY_HAVE_RUN

    def __init__(self, reply: messages.ClaimReply) -> None:
        """Keep what the shard answered."""
        super().__init__(reply.holder or '')
        self.reply = reply


@attrs.frozen
class Request:
    """What a claim needs to know of a call."""

    facts: calls.CallFacts
    rules: generated.Claims
    home_region: str
    key: str
    method: str
    path: str
    body: bytes


class KeyedClaim(call_claim.CallClaim):
    """The claim of one call over all its attempts."""

    def __init__(
        self,
        owner: KeyedClaims,
        claimant: claim_client.Claimant,
        rules: generated.Claims,
    ) -> None:
        """Claim nothing yet."""
        self._owner = owner
        self._claimant = claimant
        self._rules = rules
        self._held: messages.ClaimReply | None = None
        self._is_asked = False
        self._sink: recording.RecordingSink | None = None

    @property
    def is_in_doubt(self) -> bool:
        """Tell whether another try of this key may have run."""
        return self._is_asked and self._held is None

    def wrap_sink(self, sink: responses.Sink) -> responses.Sink:
        """Keep what goes to the sink, for second tries, if it is small."""
        limit = self._rules.answer_limit_bytes
        self._sink = recording.RecordingSink(sink, limit)
        return self._sink

    async def record_handover(
        self,
        opening: messages.OpenCall,
        connection: fleet.TargetConnection,
    ) -> None:
        """Record the hand-over and put the claim into the call.

        Raises ``ClaimedElsewhere`` when the call is not, or no longer, ours.
        """
        handover = call_claim.window(connection, self._claimant.deadline)
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = await self._secure(handover)
        counted = self._owner.metrics
        counted.time(metrics.Timer.CLAIM, loop.time() - began)
        if not reply.granted:
            self._held = None
            counted.count(metrics.Counter.CLAIM_REPEATED)
            raise ClaimedElsewhere(reply)
        if self._held is None:
            counted.count(metrics.Counter.CLAIM_GRANTED)
        self._held = reply
        opening.claim = self._claimant.name
        opening.fence = reply.fence
        opening.handover = handover

    async def resolve(
        self,
        reply: messages.ClaimReply | None = None,
    ) -> messages.ClaimReply | None:
        """Wait for the truth about the key, or take its claim over.

        Without ``reply`` the claim is our own and its call got lost on the
        way.  Returns a grant or a complete answer, else raises.
        """
        if reply is None:
            assert self._held is not None
            reply = self._held
            reply.granted = False
        self._held = None
        loop = asyncio.get_running_loop()
        latest = loop.time() + self._rules.wait_seconds
        until = min(self._claimant.deadline, latest)
        settled = await self._owner.resolver.resolve(
            self._claimant, reply, until
        )
        if settled.granted:
            self._held = settled
        return settled

    def succeed(self) -> None:
        """Record the whole answer; nobody waits for that."""
        if self._held is None or self._sink is None:
            return
        finish = self._sink.claim_outcome()
        self._owner.run_in_background(self._finish(self._held, finish))

    async def fail(self, failure: errors.CodedError) -> None:
        """Record a failure and make its word hold for the whole key.

        A refusal says 'not run' only if no other try of the key can have
        run either; the caller would order anew under another key.
        """
        if failure.ran != messages.Ran.NOT_RUN:
            self._owner.metrics.count(metrics.Counter.CLAIM_UNKNOWN)
            self.abandon(handed_over=True)
            return
        if isinstance(failure, claim_errors.ClaimKeyReused):
            return
        try:
            async with asyncio.timeout(SETTLE_SECONDS):
                is_free = await self._free()
        except (TimeoutError, errors.CodedError):
            is_free = False
        if not is_free:
            failure.ran = messages.Ran.MAY_HAVE_RUN

    def abandon(self, handed_over: bool) -> None:
        """Leave the claim to be settled while nobody waits for the call."""
        held = self._held
        if held is None:
            return
        if handed_over:
            self._owner.run_in_background(self._collect(held))
            return
        released = claim_client.Outcome(_State.RELEASED)
        self._owner.run_in_background(self._finish(held, released))

    async def _secure(
        self,
        handover: messages.Handover,
    ) -> messages.ClaimReply:
        client = self._owner.client
        held = self._held
        if held is None:
            self._is_asked = True
            held = await client.claim(self._claimant, handover)
            if not held.granted or held.handover == handover:
                return held
        return await client.move(self._claimant, held, handover)

    async def _free(self) -> bool:
        client = self._owner.client
        if self._held is None:
            found = await client.wait(self._claimant, 0)
        else:
            released = claim_client.Outcome(_State.RELEASED)
            found = await client.finish(self._claimant, self._held, released)
        return not found.known or found.state == _State.RELEASED

    async def _finish(
        self,
        held: messages.ClaimReply,
        finish: claim_client.Outcome,
    ) -> None:
        await self._owner.client.finish(self._claimant, held, finish)

    async def _collect(self, held: messages.ClaimReply) -> None:
        until = asyncio.get_running_loop().time() + COLLECT_SECONDS
        await self._owner.resolver.record_outcome(self._claimant, held, until)


class KeyedClaims:
    """Start keyed calls and finish their claims in the background."""

    def __init__(
        self,
        client: claim_client.ClaimClient,
        resolver: takeover.Takeover,
        counted: metrics.Metrics | None = None,
    ) -> None:
        """Share the client and the takeover among all calls."""
        self._metrics = counted or metrics.Metrics()
        self._client = client
        self._settler = resolver
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def client(self) -> claim_client.ClaimClient:
        """Give the way to the shards."""
        return self._client

    @property
    def metrics(self) -> metrics.Metrics:
        """Give what counts the claims."""
        return self._metrics

    @property
    def resolver(self) -> takeover.Takeover:
        """Give what settles the claims of other tries."""
        return self._settler

    def start(self, request: Request) -> KeyedClaim:
        """Prepare the claim of a call."""
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

    def start_unkeyed(self, deadline: float) -> unkeyed_claim.UnkeyedClaim:
        """Prepare a call that has no key, for its hand-over."""
        return unkeyed_claim.UnkeyedClaim(self._settler.prober, deadline)

    def run_in_background(
        self,
        work: collections.abc.Coroutine[None, None, None],
    ) -> None:
        """Record something without making a caller wait."""
        task = asyncio.get_running_loop().create_task(_logged(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_idle(self, seconds: float) -> None:
        """Wait until all outcomes are recorded, at most so long."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=seconds)


async def _logged(
    work: collections.abc.Coroutine[None, None, None],
) -> None:
    try:
        await work
    except errors.CodedError as exc:
        _log.warning('claims: outcome not recorded, %s %s', exc.code, exc)
