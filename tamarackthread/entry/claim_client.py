"""Say what an entry records and asks about keyed calls.

A claim costs one quorum write before the hand-over, which the caller waits
for, and one after the answer, which nobody waits for.
"""

from __future__ import annotations

import abc
import secrets

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_keys, claim_times

IDENTITY_BYTES = 16


@attrs.frozen
class Claimant:
    """One try of a keyed call; ``deadline`` is on the loop's clock.

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
class Outcome:
    """How a claimed call ended; a status of 0 keeps no answer."""

    state: messages.ClaimState
    status: int = 0
    headers: tuple[messages.Header, ...] = ()
    body: bytes = b''


class ClaimClient(abc.ABC):
    """Record and ask what is known of keyed calls."""

    @abc.abstractmethod
    async def claim(
        self,
        claimant: Claimant,
        handover: messages.Handover | None,
    ) -> messages.ClaimReply:
        """Claim a key for a hand-over; ``granted`` tells whether to go on.

        Raises ``ClaimsUnavailable`` when no quorum answered in time.
        """

    @abc.abstractmethod
    async def move(
        self,
        claimant: Claimant,
        held: messages.ClaimReply,
        handover: messages.Handover,
    ) -> messages.ClaimReply:
        """Record where the call goes next, before it is sent there."""

    @abc.abstractmethod
    async def finish(
        self,
        claimant: Claimant,
        held: messages.ClaimReply,
        finish: Outcome,
    ) -> messages.ClaimReply:
        """Record the outcome under the fence of the reply that is held."""

    @abc.abstractmethod
    async def wait(
        self,
        claimant: Claimant,
        seconds: float,
    ) -> messages.ClaimReply:
        """Ask what is known, waiting so long for an outcome."""


def is_open(reply: messages.ClaimReply) -> bool:
    """Tell whether some holder may still be at work on the claim."""
    return bool(reply.known) and reply.state in {
        messages.ClaimState.GRANTED,
        messages.ClaimState.RUNNING,
    }
