"""Reach the shards that keep the claims, whoever leads them."""

from __future__ import annotations

import asyncio
import collections.abc
import random

from tamarackthread.entry import claim_client
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    claim_errors,
    claim_keys,
    claim_times,
    errors,
    peers,
)

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


class ShardClaimClient(claim_client.ClaimClient):
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
        claimant: claim_client.Claimant,
        handover: messages.Handover | None,
    ) -> messages.ClaimReply:
        """Claim a key for a hand-over."""
        now = asyncio.get_running_loop().time()
        until = min(claimant.deadline, now + CLAIM_SECONDS)
        shard = self._shard(claimant)
        request = messages.ClaimRequest(
            shard=shard.name,
            key=claimant.name,
            claim=claimant.identity,
            holder=self._holder,
            keep_ms=max(claimant.keep_ms, claim_times.MIN_KEEP_MS),
            deadline_ms=_milliseconds(claimant.deadline - now),
            digest=claimant.digest,
            handover=handover,
        )
        return await self._ask(shard, messages.Request(claim=request), until)

    async def move(
        self,
        claimant: claim_client.Claimant,
        held: messages.ClaimReply,
        handover: messages.Handover,
    ) -> messages.ClaimReply:
        """Record the next hand-over under the next number."""
        now = asyncio.get_running_loop().time()
        until = min(claimant.deadline, now + CLAIM_SECONDS)
        request = self._finish_request(claimant, held)
        request.state = messages.ClaimState.RUNNING
        request.handover = handover
        request.move = (held.move or 0) + 1
        return await self._ask_finish(claimant, request, until)

    async def finish(
        self,
        claimant: claim_client.Claimant,
        held: messages.ClaimReply,
        finish: claim_client.Outcome,
    ) -> messages.ClaimReply:
        """Record the outcome, trying for a while after the deadline too."""
        request = self._finish_request(claimant, held)
        request.state = finish.state
        request.status = finish.status
        request.headers = list(finish.headers)
        request.body = finish.body
        request.move = held.move or 0
        until = asyncio.get_running_loop().time() + FINISH_SECONDS
        return await self._ask_finish(claimant, request, until)

    async def wait(
        self,
        claimant: claim_client.Claimant,
        seconds: float,
    ) -> messages.ClaimReply:
        """Poll the shard, which holds its answer back until there is news."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        shard = self._shard(claimant)
        while True:
            left = until - loop.time()
            lookup = messages.ClaimLookup(
                shard=shard.name,
                key=claimant.name,
                wait_ms=_milliseconds(min(left, LONG_POLL_SECONDS)),
            )
            request = messages.Request(claim_lookup=lookup)
            answer_by = max(until, loop.time() + CLAIM_SECONDS)
            reply = await self._ask(shard, request, answer_by)
            if not claim_client.is_open(reply) or loop.time() >= until:
                return reply

    def _shard(self, claimant: claim_client.Claimant) -> claim_keys.Shard:
        return claim_keys.shard_of(
            claimant.organisation,
            claimant.key,
            self._shards(),
            claimant.home_region,
        )

    def _finish_request(
        self,
        claimant: claim_client.Claimant,
        held: messages.ClaimReply,
    ) -> messages.ClaimFinish:
        return messages.ClaimFinish(
            shard=self._shard(claimant).name,
            key=claimant.name,
            claim=claimant.identity,
            fence=held.fence,
        )

    async def _ask_finish(
        self,
        claimant: claim_client.Claimant,
        request: messages.ClaimFinish,
        until: float,
    ) -> messages.ClaimReply:
        shard = self._shard(claimant)
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


def _milliseconds(seconds: float) -> int:
    return max(0, int(seconds * claim_times.MILLISECONDS))
