"""Send claim requests to the leaders of the shards that store claims."""

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
    link_pool,
)

REQUEST_SECONDS = 1.0
CLAIM_SECONDS = 5.0
FINISH_SECONDS = 30.0
LONG_POLL_SECONDS = 1.0
MIN_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5
# Errors that a retry can't change.
_PERMANENT_ERRORS = (
    claim_errors.ClaimsFull,
    claim_errors.ClaimKeyReused,
    claim_errors.ClaimInvalid,
)


class ShardClaimClient(claim_client.ClaimClient):
    """Reach the shards over this process's links to control hosts."""

    def __init__(
        self,
        links: link_pool.LinkPool,
        shards: collections.abc.Callable[
            [], collections.abc.Iterable[claim_keys.Shard]
        ],
        holder: str,
        rng: random.Random | None = None,
    ) -> None:
        """Call ``shards`` on each request; ``holder`` names this entry."""
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
        """Claim a key for a handover."""
        now = asyncio.get_running_loop().time()
        until = min(claimant.deadline, now + CLAIM_SECONDS)
        shard = self._shard(claimant)
        request = messages.ClaimRequest(
            shard=shard.name,
            key=claimant.name,
            claim=claimant.identity,
            holder=self._holder,
            keep_ms=max(claimant.keep_ms, claim_times.MIN_TTL_MS),
            deadline_ms=_milliseconds(claimant.deadline - now),
            digest=claimant.digest,
            handover=handover,
        )
        return await self._send(shard, messages.Request(claim=request), until)

    async def move(
        self,
        claimant: claim_client.Claimant,
        grant: messages.ClaimReply,
        handover: messages.Handover,
    ) -> messages.ClaimReply:
        """Record the next handover under the next ``move`` number."""
        now = asyncio.get_running_loop().time()
        until = min(claimant.deadline, now + CLAIM_SECONDS)
        request = self._finish_request(claimant, grant)
        request.state = messages.ClaimState.RUNNING
        request.handover = handover
        request.move = (grant.move or 0) + 1
        return await self._send_finish(claimant, request, until)

    async def finish(
        self,
        claimant: claim_client.Claimant,
        grant: messages.ClaimReply,
        outcome: claim_client.Outcome,
    ) -> messages.ClaimReply:
        """Record the outcome, with retries also after the deadline."""
        request = self._finish_request(claimant, grant)
        request.state = outcome.state
        request.status = outcome.status
        request.headers = list(outcome.headers)
        request.body = outcome.body
        request.move = grant.move or 0
        until = asyncio.get_running_loop().time() + FINISH_SECONDS
        return await self._send_finish(claimant, request, until)

    async def wait(
        self,
        claimant: claim_client.Claimant,
        seconds: float,
    ) -> messages.ClaimReply:
        """Long-poll the shard until the claim is finished or time runs out."""
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
            reply_deadline = max(until, loop.time() + CLAIM_SECONDS)
            reply = await self._send(shard, request, reply_deadline)
            if not claim_client.is_open(reply) or loop.time() >= until:
                return reply

    def _shard(self, claimant: claim_client.Claimant) -> claim_keys.Shard:
        return claim_keys.select_shard(
            claimant.organisation,
            claimant.key,
            self._shards(),
            claimant.home_region,
        )

    def _finish_request(
        self,
        claimant: claim_client.Claimant,
        grant: messages.ClaimReply,
    ) -> messages.ClaimFinish:
        return messages.ClaimFinish(
            shard=self._shard(claimant).name,
            key=claimant.name,
            claim=claimant.identity,
            fence=grant.fence,
        )

    async def _send_finish(
        self,
        claimant: claim_client.Claimant,
        request: messages.ClaimFinish,
        until: float,
    ) -> messages.ClaimReply:
        shard = self._shard(claimant)
        wrapped = messages.Request(claim_finish=request)
        return await self._send(shard, wrapped, until)

    async def _send(
        self,
        shard: claim_keys.Shard,
        request: messages.Request,
        until: float,
    ) -> messages.ClaimReply:
        loop = asyncio.get_running_loop()
        backoff = MIN_BACKOFF_SECONDS
        while True:
            reply = await self._try_members(shard, request, until)
            if reply is not None:
                return reply
            if loop.time() + backoff >= until:
                raise claim_errors.ClaimsUnavailable(shard.name)
            # Jitter spreads the retries of all calls after an election.
            await asyncio.sleep(backoff * self._rng.uniform(0.5, 1))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    async def _try_members(
        self,
        shard: claim_keys.Shard,
        request: messages.Request,
        until: float,
    ) -> messages.ClaimReply | None:
        for address in self._leader_first(shard):
            reply = await self._try_member(address, request, until)
            if reply is not None:
                self._leaders[shard.name] = address
                return reply
        return None

    async def _try_member(
        self,
        address: str,
        request: messages.Request,
        until: float,
    ) -> messages.ClaimReply | None:
        left = until - asyncio.get_running_loop().time()
        if left <= 0:
            return None
        seconds = min(left, REQUEST_SECONDS + LONG_POLL_SECONDS)
        try:
            reply = await self._links.request(address, request, seconds)
        except _PERMANENT_ERRORS:
            raise
        except errors.CodedError:
            return None
        return reply.claim

    def _leader_first(self, shard: claim_keys.Shard) -> list[str]:
        leader = self._leaders.get(shard.name)
        members = [address for address in shard.members if address != leader]
        self._rng.shuffle(members)
        return [leader, *members] if leader in shard.members else members


def _milliseconds(seconds: float) -> int:
    return max(0, int(seconds * claim_times.MILLISECONDS))
