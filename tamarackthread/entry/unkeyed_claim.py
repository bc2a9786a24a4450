"""Claim non-idempotent calls without a key at the agent alone.

This costs no round trip, and after a lost link the agent can still tell whether
the call ran.  Other entries know nothing of it.
"""

from __future__ import annotations

import asyncio

from tamarackthread.entry import call_claim, fleet, responses, takeover
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_times, errors

PROBE_INTERVAL_SECONDS = 0.1


class UnkeyedClaim(call_claim.CallClaim):
    """A claim that only the agent and this process know."""

    def __init__(self, prober: takeover.Prober, deadline: float) -> None:
        """Probe agents until the deadline, which is in loop time."""
        self._prober = prober
        self._deadline = deadline
        self._probe: messages.ClaimProbe | None = None

    @property
    def is_in_doubt(self) -> bool:
        """Return false: no other request can belong to this call."""
        return False

    def wrap_sink(self, sink: responses.Sink) -> responses.Sink:
        """Return the sink itself, as the response can't be replayed."""
        return sink

    async def record_handover(
        self,
        opening: messages.OpenCall,
        connection: fleet.TargetConnection,
    ) -> None:
        """Claim the call's id at the agent."""
        handover = call_claim.build_handover(connection, self._deadline)
        opening.claim = opening.call_id
        opening.fence = claim_times.UNKEYED_FENCE
        opening.handover = handover
        self._probe = messages.ClaimProbe(
            claim=opening.call_id,
            fence=claim_times.UNKEYED_FENCE,
            seal=True,
            handover=handover,
        )

    async def resolve(
        self,
        reply: messages.ClaimReply | None = None,
    ) -> messages.ClaimReply | None:
        """Probe the agent until it knows the outcome or time runs out."""
        probe = self._probe
        while probe is not None and probe.handover is not None:
            try:
                proof = await self._prober.probe(probe.handover, probe)
            except errors.CodedError:
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)
                continue
            if not proof.reached or proof.finished:
                return _claim_reply(proof)
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        return None

    def succeed(self) -> None:
        """Do nothing: the agent drops the claim itself."""

    async def fail(self, failure: errors.CodedError) -> None:
        """Do nothing: ``ran`` needs no correction."""

    def abandon(self, handed_over: bool) -> None:
        """Do nothing: the call runs to its end."""


def _claim_reply(proof: messages.ClaimProof) -> messages.ClaimReply | None:
    if proof.sealed:
        return messages.ClaimReply(granted=True)
    if not proof.answered:
        return None
    return messages.ClaimReply(
        granted=False,
        known=True,
        state=messages.ClaimState.COMPLETE,
        status=proof.status,
        headers=proof.headers,
        body=proof.body,
    )
