"""Resolve claims of other requests; take them over only with proof.

An agent that seals a claim proves that its call did not start and never will,
whether the holder is dead, slow or just waking up.
"""

from __future__ import annotations

import abc
import asyncio
import logging

from tamarackthread.entry import claim_client
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_errors, errors, link_pool

GRACE_SECONDS = 1.0
PROBE_SECONDS = 1.0
MAX_FAILED_PROBES = 3
_State = messages.ClaimState
_RELEASED = claim_client.Outcome(_State.RELEASED)
_UNKNOWN = claim_client.Outcome(_State.UNKNOWN)
_log = logging.getLogger('tamarackthread.claims')


class Prober(abc.ABC):
    """Query agents for the outcome of claimed calls."""

    @abc.abstractmethod
    async def probe(
        self,
        handover: messages.Handover,
        request: messages.ClaimProbe,
    ) -> messages.ClaimProof:
        """Query the handover's agent; raise a coded error on failure."""


class LinkProber(Prober):
    """Query agents over this process's links."""

    def __init__(self, links: link_pool.LinkPool) -> None:
        """Use these links; agents are dialled at their first probe."""
        self._links = links

    async def probe(
        self,
        handover: messages.Handover,
        request: messages.ClaimProbe,
    ) -> messages.ClaimProof:
        """Query the agent at the handover's address."""
        reply = await self._links.request(
            handover.address,
            messages.Request(claim_probe=request),
            PROBE_SECONDS,
        )
        if reply.claim_proof is None:
            raise errors.PeerFailure('reply to a claim probe has no proof')
        return reply.claim_proof


class Takeover:
    """Wait for the holder of a key's claim, or take it over with proof."""

    def __init__(
        self,
        client: claim_client.ClaimClient,
        prober: Prober,
        grace_seconds: float = GRACE_SECONDS,
    ) -> None:
        """Wait ``grace_seconds`` for the holder before probing its agent."""
        self._client = client
        self._prober = prober
        self._grace_seconds = grace_seconds

    @property
    def prober(self) -> Prober:
        """Return the prober of agents."""
        return self._prober

    async def resolve(
        self,
        claimant: claim_client.Claimant,
        reply: messages.ClaimReply,
        until: float,
    ) -> messages.ClaimReply:
        """Return the response or a grant, or raise from ``claim_errors``."""
        failed_probes = 0
        while not reply.granted:
            if reply.state == _State.COMPLETE:
                return _check_kept(reply)
            if not reply.known or reply.state == _State.RELEASED:
                reply = await self._client.claim(claimant, None)
                continue
            _check_deadline(until)
            news = await self._wait_or_probe(claimant, reply, until)
            if news is None:
                failed_probes += 1
                _check_failed_probes(reply, failed_probes)
                continue
            reply = news
        return reply

    async def record_outcome(
        self,
        claimant: claim_client.Claimant,
        grant: messages.ClaimReply,
        until: float,
    ) -> None:
        """Probe the agent of an abandoned call and record the outcome."""
        loop = asyncio.get_running_loop()
        reply: messages.ClaimReply | None = grant
        while loop.time() < until:
            await asyncio.sleep(self._grace_seconds)
            reply = await self._probe_agent(claimant, grant)
            if reply is None or not claim_client.is_open(reply):
                break
        if reply is None or claim_client.is_open(reply):
            await self._client.finish(claimant, grant, _UNKNOWN)

    async def request_proof(
        self,
        claimant: claim_client.Claimant,
        claim: messages.ClaimReply,
    ) -> messages.ClaimProof | None:
        """Ask the agent to seal a claim; return ``None`` without proof."""
        if claim.handover is None:
            return messages.ClaimProof(known=True, reached=False, sealed=True)
        probe = messages.ClaimProbe(
            claim=claimant.name,
            fence=claim.fence,
            seal=True,
            handover=claim.handover,
        )
        try:
            proof = await self._prober.probe(claim.handover, probe)
        except errors.CodedError as exc:
            _log.info('claims: no proof from %s, %s', claim.target, exc)
            return None
        return proof if proof.known else None

    async def _wait_or_probe(
        self,
        claimant: claim_client.Claimant,
        old: messages.ClaimReply,
        until: float,
    ) -> messages.ClaimReply | None:
        """Return a change of the claim or its agent's proof, or ``None``."""
        if claim_client.is_open(old):
            left = until - asyncio.get_running_loop().time()
            seconds = min(self._grace_seconds, left)
            reply = await self._client.wait(claimant, seconds)
            if not _is_same(old, reply):
                return reply
        return await self._probe_agent(claimant, old)

    async def _probe_agent(
        self,
        claimant: claim_client.Claimant,
        reply: messages.ClaimReply,
    ) -> messages.ClaimReply | None:
        """Return the claim's state as proven, or ``None`` without proof."""
        proof = await self.request_proof(claimant, reply)
        if proof is None:
            return None
        # A sealed claim has not started at the agent and never will.
        if proof.sealed:
            _log.info('claims: took over from %s', reply.holder)
            return await self._record(claimant, reply, _RELEASED)
        if proof.answered:
            return await self._record(claimant, reply, _outcome(proof))
        if proof.reached and not proof.finished:
            await asyncio.sleep(self._grace_seconds)
            return await self._client.wait(claimant, 0)
        return None

    async def _record(
        self,
        claimant: claim_client.Claimant,
        reply: messages.ClaimReply,
        outcome: claim_client.Outcome,
    ) -> messages.ClaimReply:
        recorded = await self._client.finish(claimant, reply, outcome)
        # The flag means that the outcome was recorded; it grants no claim.
        recorded.granted = False
        return recorded


def _outcome(proof: messages.ClaimProof) -> claim_client.Outcome:
    return claim_client.Outcome(
        _State.COMPLETE,
        proof.status,
        tuple(proof.headers or ()),
        proof.body or b'',
    )


def _check_kept(reply: messages.ClaimReply) -> messages.ClaimReply:
    if not reply.status:
        raise claim_errors.ClaimAnswerNotKept
    return reply


def _is_same(old: messages.ClaimReply, new: messages.ClaimReply) -> bool:
    return (
        bool(new.known)
        and old.state == new.state
        and old.fence == new.fence
        and old.move == new.move
    )


def _check_deadline(until: float) -> None:
    if asyncio.get_running_loop().time() >= until:
        raise claim_errors.ClaimStillRunning


def _check_failed_probes(reply: messages.ClaimReply, count: int) -> None:
    if count >= MAX_FAILED_PROBES or not claim_client.is_open(reply):
        raise claim_errors.ClaimMayHaveRun
