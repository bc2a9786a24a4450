"""Define the client of the shards that store claims of keyed calls."""

from __future__ import annotations

import abc
import secrets

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_keys, claim_times

IDENTITY_BYTES = 16


@attrs.frozen
class Claimant:
    """One request with a key; ``identity`` makes its claims idempotent."""

    organisation: str
    key: str
    digest: bytes
    deadline: float  # loop time
    home_region: str = ''
    keep_ms: int = claim_times.DEFAULT_TTL_MS
    identity: bytes = attrs.field(
        factory=lambda: secrets.token_bytes(IDENTITY_BYTES),
    )

    @property
    def name(self) -> bytes:
        """Return the key's fixed-size name."""
        return claim_keys.claim_key(self.organisation, self.key)


@attrs.frozen
class Outcome:
    """The outcome of a claimed call; status 0 means no response is kept."""

    state: messages.ClaimState
    status: int = 0
    headers: tuple[messages.Header, ...] = ()
    body: bytes = b''


class ClaimClient(abc.ABC):
    """Write and read the claims of keyed calls."""

    @abc.abstractmethod
    async def claim(
        self,
        claimant: Claimant,
        handover: messages.Handover | None,
    ) -> messages.ClaimReply:
        """Claim a key; raise ``ClaimsUnavailable`` without a quorum."""

    @abc.abstractmethod
    async def move(
        self,
        claimant: Claimant,
        grant: messages.ClaimReply,
        handover: messages.Handover,
    ) -> messages.ClaimReply:
        """Record the next handover before the call is sent."""

    @abc.abstractmethod
    async def finish(
        self,
        claimant: Claimant,
        grant: messages.ClaimReply,
        outcome: Outcome,
    ) -> messages.ClaimReply:
        """Record the outcome under the grant's fencing token."""

    @abc.abstractmethod
    async def wait(
        self,
        claimant: Claimant,
        seconds: float,
    ) -> messages.ClaimReply:
        """Look a claim up, waiting up to ``seconds`` for its outcome."""


def is_open(reply: messages.ClaimReply) -> bool:
    """Return whether a holder may still run the claimed call."""
    return bool(reply.known) and reply.state in {
        messages.ClaimState.GRANTED,
        messages.ClaimState.RUNNING,
    }
