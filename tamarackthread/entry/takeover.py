"""Settle a key that another try has claimed.

The second try first waits for the first one's outcome.  If none comes, it
asks the agent that the claim names.  An agent that seals the claim has proven
that the call did not start and never will, whether its holder is dead, slow
or just waking up: only then is the key claimed anew.  Without proof the
caller is told that the work may have run.
"""

from __future__ import annotations

import abc
import asyncio
import logging

from tamarackthread.entry import claim_client
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_errors, errors, peers

GRACE_SECONDS = 1.0
PROBE_SECONDS = 1.0
PROBES_WITHOUT_PROOF = 3
_State = messages.ClaimState
_RELEASED = claim_client.Outcome(_State.RELEASED)
_UNKNOWN = claim_client.Outcome(_State.UNKNOWN)
_log = logging.getLogger('tamarackthread.claims')


class Prober(abc.ABC):
    """Ask agents about claims."""

    @abc.abstractmethod
    async def probe(
        self,
        handover: messages.Handover,
        request: messages.ClaimProbe,
    ) -> messages.ClaimProof:
        """Ask the agent that the hand-over names; raise a coded error."""


class LinkProber(Prober):
    """Ask agents over this process's links."""

    def __init__(self, links: peers.Peers) -> None:
        """Keep the links; agents are dialled at their first probe."""
        self._links = links

    async def probe(
        self,
        handover: messages.Handover,
        request: messages.ClaimProbe,
    ) -> messages.ClaimProof:
        """Ask at the address that the claim has recorded."""
        reply = await self._links.request(
            handover.address,
            messages.Request(claim_probe=request),
            PROBE_SECONDS,
        )
        if reply.claim_proof is None:
            raise errors.PeerFailure('no proof in the reply')
        return reply.claim_proof


class Takeover:
    """Wait for the other try of a key, or take its claim over with proof."""

    def __init__(
        self,
        client: claim_client.ClaimClient,
        prober: Prober,
        grace_seconds: float = GRACE_SECONDS,
    ) -> None:
        """Leave the holder so long before its agent is asked."""
        self._client = client
        self._prober = prober
        self._grace_seconds = grace_seconds

    @property
    def prober(self) -> Prober:
        """Give the way to the agents."""
        return self._prober

    async def resolve(
        self,
        claimant: claim_client.Claimant,
        reply: messages.ClaimReply,
        until: float,
    ) -> messages.ClaimReply:
        """Return the answer or a grant; raise a coded error for the caller.

        ``reply`` is what the claim of ``ask`` was answered with and
        ``until`` is on the loop's clock.  A grant names no hand-over yet: it
        must be moved to one first.  Raises ``ClaimMayHaveRun``,
        ``ClaimStillRunning``, ``ClaimAnswerNotKept`` and what the client
        raises.
        """
        doubts = 0
        while not reply.granted:
            if reply.state == _State.COMPLETE:
                return _checked(reply)
            if not reply.known or reply.state == _State.RELEASED:
                reply = await self._client.claim(claimant, None)
                continue
            _check_time(until)
            found = await self._progress(claimant, reply, until)
            if found is None:
                doubts += 1
                _check_doubts(reply, doubts)
                continue
            reply = found
        return reply

    async def record_outcome(
        self,
        claimant: claim_client.Claimant,
        held: messages.ClaimReply,
        until: float,
    ) -> None:
        """Record the outcome of a call whose caller is gone, as proven.

        The agent is asked until it tells the outcome; then, or when it can't
        be had any more, later tries need not ask.
        """
        loop = asyncio.get_running_loop()
        reply: messages.ClaimReply | None = held
        while loop.time() < until:
            await asyncio.sleep(self._grace_seconds)
            reply = await self._ask_agent(claimant, held)
            if reply is None or not claim_client.is_open(reply):
                break
        if reply is None or claim_client.is_open(reply):
            await self._client.finish(claimant, held, _UNKNOWN)

    async def request_proof(
        self,
        claimant: claim_client.Claimant,
        held: messages.ClaimReply,
    ) -> messages.ClaimProof | None:
        """Ask the agent to seal a claim; ``None`` without any proof."""
        if held.handover is None:
            return messages.ClaimProof(known=True, reached=False, sealed=True)
        probe = messages.ClaimProbe(
            claim=claimant.name,
            fence=held.fence,
            seal=True,
            handover=held.handover,
        )
        try:
            proof = await self._prober.probe(held.handover, probe)
        except errors.CodedError as exc:
            _log.info('claims: no proof from %s, %s', held.target, exc)
            return None
        return proof if proof.known else None

    async def _progress(
        self,
        claimant: claim_client.Claimant,
        seen: messages.ClaimReply,
        until: float,
    ) -> messages.ClaimReply | None:
        """Wait for news and then ask the agent; ``None`` without either."""
        if claim_client.is_open(seen):
            left = until - asyncio.get_running_loop().time()
            seconds = min(self._grace_seconds, left)
            reply = await self._client.wait(claimant, seconds)
            if not _is_same(seen, reply):
                return reply
        return await self._ask_agent(claimant, seen)

    async def _ask_agent(
        self,
        claimant: claim_client.Claimant,
        reply: messages.ClaimReply,
    ) -> messages.ClaimReply | None:
        """Give the claim's new state as proven, or ``None`` without proof."""
        proof = await self.request_proof(claimant, reply)
        if proof is None:
            return None
        if proof.sealed:
            _log.info('claims: took over from %s', reply.holder)
            return await self._settled(claimant, reply, _RELEASED)
        if proof.answered:
            return await self._settled(claimant, reply, _answer(proof))
        if proof.reached and not proof.finished:
            await asyncio.sleep(self._grace_seconds)
            return await self._client.wait(claimant, 0)
        return None

    async def _settled(
        self,
        claimant: claim_client.Claimant,
        reply: messages.ClaimReply,
        finish: claim_client.Outcome,
    ) -> messages.ClaimReply:
        settled = await self._client.finish(claimant, reply, finish)
        # Here it tells that the outcome was recorded, not that this try may
        # go on with the call.
        settled.granted = False
        return settled


def _answer(proof: messages.ClaimProof) -> claim_client.Outcome:
    return claim_client.Outcome(
        _State.COMPLETE,
        proof.status,
        tuple(proof.headers or ()),
        proof.body or b'',
    )


def _checked(reply: messages.ClaimReply) -> messages.ClaimReply:
    if not reply.status:
        raise claim_errors.ClaimAnswerNotKept
    return reply


def _is_same(seen: messages.ClaimReply, found: messages.ClaimReply) -> bool:
    return (
        bool(found.known)
        and seen.state == found.state
        and seen.fence == found.fence
        and seen.move == found.move
    )


def _check_time(until: float) -> None:
    if asyncio.get_running_loop().time() >= until:
        raise claim_errors.ClaimStillRunning


def _check_doubts(reply: messages.ClaimReply, doubts: int) -> None:
    if doubts >= PROBES_WITHOUT_PROOF or not claim_client.is_open(reply):
        raise claim_errors.ClaimMayHaveRun
