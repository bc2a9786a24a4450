"""Carry one call that must not repeat and has no key.

Its claim lives at the agent alone, under the call's own identity.  It costs
no round trip: when the link is lost, the agent can still tell whether the
call ran, give its answer, or seal it as never started.  Other entries know
nothing of it, so it ends with this entry's process.
"""

from __future__ import annotations

import asyncio

from tamarackthread.entry import call_claim, fleet, responses, takeover
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_times, errors

PROBE_PAUSE_SECONDS = 0.1


class UnkeyedClaim(call_claim.CallClaim):
    """Such a call over its attempts."""

    def __init__(self, prober: takeover.Prober, deadline: float) -> None:
        """Ask agents through ``prober`` until the deadline, loop time."""
        self._prober = prober
        self._deadline = deadline
        self._sent: messages.ClaimProbe | None = None

    @property
    def is_in_doubt(self) -> bool:
        """Tell that no other try can know of this call."""
        return False

    def wrap_sink(self, sink: responses.Sink) -> responses.Sink:
        """Give the sink itself; nobody can ask for the answer again."""
        return sink

    async def record_handover(
        self,
        opening: messages.OpenCall,
        connection: fleet.TargetConnection,
    ) -> None:
        """Claim the call's own identity at the agent that it goes to."""
        handover = call_claim.window(connection, self._deadline)
        opening.claim = opening.call_id
        opening.fence = claim_times.UNKEYED_FENCE
        opening.handover = handover
        self._sent = messages.ClaimProbe(
            claim=opening.call_id,
            fence=claim_times.UNKEYED_FENCE,
            seal=True,
            handover=handover,
        )

    async def resolve(
        self,
        reply: messages.ClaimReply | None = None,
    ) -> messages.ClaimReply | None:
        """Ask the agent until it knows, or the deadline cuts this short."""
        sent = self._sent
        while sent is not None and sent.handover is not None:
            try:
                proof = await self._prober.probe(sent.handover, sent)
            except errors.CodedError:
                await asyncio.sleep(PROBE_PAUSE_SECONDS)
                continue
            if not proof.reached or proof.finished:
                return _settled(proof)
            await asyncio.sleep(PROBE_PAUSE_SECONDS)
        return None

    def succeed(self) -> None:
        """Leave it to the agent to forget the call."""

    async def fail(self, failure: errors.CodedError) -> None:
        """Let the failure stand as it is."""

    def abandon(self, handed_over: bool) -> None:
        """Let the call run to its end."""


def _settled(proof: messages.ClaimProof) -> messages.ClaimReply | None:
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
