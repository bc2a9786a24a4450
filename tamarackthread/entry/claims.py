"""Claim keys at their shards, so that keyed work runs at most once.

A claim costs one quorum write before the hand-over, which the caller waits
for, and one after the answer, which nobody waits for.
"""

from __future__ import annotations

import abc
import asyncio
import collections.abc
import random
import secrets

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    claim_errors,
    claim_keys,
    claim_times,
    errors,
    peers,
)

IDENTITY_BYTES = 16
TRY_SECONDS = 1.0
CLAIM_SECONDS = 5.0
FINISH_SECONDS = 30.0
LONG_POLL_SECONDS = 1.0
FIRST_PAUSE_SECONDS = 0.02
MOST_PAUSE_SECONDS = 0.5
# Asking again can't change these answers.
_FINAL = (
    claim_errors.ClaimsFull,
    claim_errors.ClaimKeyReused,
    claim_errors.ClaimInvalid,
)


@attrs.frozen
class Ask:
    """Be one try of a keyed call; ``deadline`` is on the loop's clock.

    ``identity`` names this try: it may ask for the claim as often as
    answers get lost and is granted it once.
    """

    organisation: str
    key: str
    digest: bytes
    deadline: float
    home_region: str = ''
    keep_ms: int = claim_times.DEFAULT_KEEP_MS
    identity: bytes = attrs.field(
        factory=lambda: secrets.token_bytes(IDENTITY_BYTES),
    )

    @property
    def name(self) -> bytes:
        """Give the key's fixed-size name."""
        return claim_keys.claim_key(self.organisation, self.key)


@attrs.frozen
class Finish:
    """Be how a claimed call ended; a status of 0 keeps no answer."""

    state: messages.ClaimState
    status: int = 0
    headers: tuple[messages.Header, ...] = ()
    body: bytes = b''


class ClaimsClient(abc.ABC):
    """Record and ask what is known of keyed calls."""

    @abc.abstractmethod
    async def claim(
        self,
        ask: Ask,
        handover: messages.Handover | None,
    ) -> messages.ClaimReply:
        """Claim a key for a hand-over; ``granted`` tells whether to go on.

        Raises ``ClaimsUnavailable`` when no quorum answered in time.
        """

    @abc.abstractmethod
    async def move(
        self,
        ask: Ask,
        held: messages.ClaimReply,
        handover: messages.Handover,
    ) -> messages.ClaimReply:
        """Record where the call goes next, before it is sent there."""

    @abc.abstractmethod
    async def finish(
        self,
        ask: Ask,
        held: messages.ClaimReply,
        finish: Finish,
    ) -> messages.ClaimReply:
        """Record the outcome under the fence of the reply that is held."""

    @abc.abstractmethod
    async def wait(
        self,
        ask: Ask,
        seconds: float,
    ) -> messages.ClaimReply:
        """Ask what is known, waiting so long for an outcome."""


class ShardClaims(ClaimsClient):
    """Reach the shards over this process's links to the control hosts."""

    def __init__(
        self,
        links: peers.Peers,
        shards: collections.abc.Callable[
            [], collections.abc.Iterable[claim_keys.Shard]
        ],
        holder: str,
        rng: random.Random | None = None,
    ) -> None:
        """Read the shards anew for each call; ``holder`` names this entry."""
        self._links = links
        self._shards = shards
        self._holder = holder
        self._rng = rng or random.Random()
        self._leaders: dict[str, str] = {}

    async def claim(
        self,
        ask: Ask,
        handover: messages.Handover | None,
    ) -> messages.ClaimReply:
        """Claim a key for a hand-over."""
        now = asyncio.get_running_loop().time()
        until = min(ask.deadline, now + CLAIM_SECONDS)
        shard = self._shard(ask)
        request = messages.ClaimRequest(
            shard=shard.name,
            key=ask.name,
            claim=ask.identity,
            holder=self._holder,
            keep_ms=max(ask.keep_ms, claim_times.MIN_KEEP_MS),
            deadline_ms=_milliseconds(ask.deadline - now),
            digest=ask.digest,
            handover=handover,
        )
        return await self._ask(shard, messages.Request(claim=request), until)

    async def move(
        self,
        ask: Ask,
        held: messages.ClaimReply,
        handover: messages.Handover,
    ) -> messages.ClaimReply:
        """Record the next hand-over under the next number."""
        now = asyncio.get_running_loop().time()
        until = min(ask.deadline, now + CLAIM_SECONDS)
        request = self._finish_request(ask, held)
        request.state = messages.ClaimState.RUNNING
        request.handover = handover
        request.move = (held.move or 0) + 1
        return await self._ask_finish(ask, request, until)

    async def finish(
        self,
        ask: Ask,
        held: messages.ClaimReply,
        finish: Finish,
    ) -> messages.ClaimReply:
        """Record the outcome, trying for a while after the deadline too."""
        request = self._finish_request(ask, held)
        request.state = finish.state
        request.status = finish.status
        request.headers = list(finish.headers)
        request.body = finish.body
        request.move = held.move or 0
        until = asyncio.get_running_loop().time() + FINISH_SECONDS
        return await self._ask_finish(ask, request, until)

    async def wait(
        self,
        ask: Ask,
        seconds: float,
    ) -> messages.ClaimReply:
        """Poll the shard, which holds its answer back until there is news."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        shard = self._shard(ask)
        while True:
            left = until - loop.time()
            lookup = messages.ClaimLookup(
                shard=shard.name,
                key=ask.name,
                wait_ms=_milliseconds(min(left, LONG_POLL_SECONDS)),
            )
            request = messages.Request(claim_lookup=lookup)
            answer_by = max(until, loop.time() + CLAIM_SECONDS)
            reply = await self._ask(shard, request, answer_by)
            if not is_open(reply) or loop.time() >= until:
                return reply

    def _shard(self, ask: Ask) -> claim_keys.Shard:
        return claim_keys.shard_of(
            ask.organisation,
            ask.key,
            self._shards(),
            ask.home_region,
        )

    def _finish_request(
        self,
        ask: Ask,
        held: messages.ClaimReply,
    ) -> messages.ClaimFinish:
        return messages.ClaimFinish(
            shard=self._shard(ask).name,
            key=ask.name,
            claim=ask.identity,
            fence=held.fence,
        )

    async def _ask_finish(
        self,
        ask: Ask,
        request: messages.ClaimFinish,
        until: float,
    ) -> messages.ClaimReply:
        shard = self._shard(ask)
        wrapped = messages.Request(claim_finish=request)
        return await self._ask(shard, wrapped, until)

    async def _ask(
        self,
        shard: claim_keys.Shard,
        request: messages.Request,
        until: float,
    ) -> messages.ClaimReply:
        loop = asyncio.get_running_loop()
        pause = FIRST_PAUSE_SECONDS
        while True:
            reply = await self._ask_round(shard, request, until)
            if reply is not None:
                return reply
            if loop.time() + pause >= until:
                raise claim_errors.ClaimsUnavailable(shard.name)
            # A new leader is found within a second or so; the jitter keeps
            # all waiting calls from asking it in the same instant.
            await asyncio.sleep(pause * self._rng.uniform(0.5, 1))
            pause = min(pause * 2, MOST_PAUSE_SECONDS)

    async def _ask_round(
        self,
        shard: claim_keys.Shard,
        request: messages.Request,
        until: float,
    ) -> messages.ClaimReply | None:
        for address in self._in_order(shard):
            reply = await self._ask_member(address, request, until)
            if reply is not None:
                self._leaders[shard.name] = address
                return reply
        return None

    async def _ask_member(
        self,
        address: str,
        request: messages.Request,
        until: float,
    ) -> messages.ClaimReply | None:
        left = until - asyncio.get_running_loop().time()
        if left <= 0:
            return None
        seconds = min(left, TRY_SECONDS + LONG_POLL_SECONDS)
        try:
            reply = await self._links.request(address, request, seconds)
        except _FINAL:
            raise
        except errors.CodedError:
            return None
        return reply.claim

    def _in_order(self, shard: claim_keys.Shard) -> list[str]:
        leader = self._leaders.get(shard.name)
        members = [address for address in shard.members if address != leader]
        self._rng.shuffle(members)
        return [leader, *members] if leader in shard.members else members


def is_open(reply: messages.ClaimReply) -> bool:
    """Tell whether some holder may still be at work on the claim."""
    return bool(reply.known) and reply.state in {
        messages.ClaimState.GRANTED,
        messages.ClaimState.RUNNING,
    }


def _milliseconds(seconds: float) -> int:
    return max(0, int(seconds * claim_times.MILLISECONDS))
