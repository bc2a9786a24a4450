"""Define the claim of a call that must not run twice."""

from __future__ import annotations

import abc
import asyncio

from tamarackthread.entry import failures, fleet, responses
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_times, errors

HANDOVER_SECONDS = 10.0
REPLAY_HEADER = ('X-Tamarackthread-Replayed', 'true')


class CallClaim(abc.ABC):
    """The claim of one non-idempotent call, over all its attempts."""

    @property
    @abc.abstractmethod
    def is_in_doubt(self) -> bool:
        """Return whether another request with this key may have run."""

    @abc.abstractmethod
    def wrap_sink(self, sink: responses.Sink) -> responses.Sink:
        """Return the sink that the response must be written to."""

    @abc.abstractmethod
    async def record_handover(
        self,
        opening: messages.OpenCall,
        connection: fleet.TargetConnection,
    ) -> None:
        """Claim the next handover and put the claim into the call."""

    @abc.abstractmethod
    async def resolve(
        self,
        reply: messages.ClaimReply | None = None,
    ) -> messages.ClaimReply | None:
        """Return the response, a grant if it has not run, or ``None``."""

    @abc.abstractmethod
    def succeed(self) -> None:
        """Record that the caller has the complete response."""

    @abc.abstractmethod
    async def fail(self, failure: errors.CodedError) -> None:
        """Record a failure and correct its ``ran`` if necessary."""

    @abc.abstractmethod
    def abandon(self, handed_over: bool) -> None:
        """Leave the claim after the caller has disconnected."""


def build_handover(
    connection: fleet.TargetConnection, deadline: float
) -> messages.Handover:
    """Build a call's handover; raise ``ConnectionSilent`` without a clock."""
    link = connection.current_link
    clock = link.peer_clock_ms() if link and not link.is_closed else None
    if link is None or clock is None:
        raise failures.ConnectionSilent(connection.name)
    left = deadline - asyncio.get_running_loop().time()
    seconds = min(left, HANDOVER_SECONDS)
    return messages.Handover(
        target=connection.name,
        address=connection.details.address,
        incarnation=link.peer.incarnation,
        until_ms=clock + int(seconds * claim_times.MILLISECONDS),
    )


async def replay(reply: messages.ClaimReply, sink: responses.Sink) -> None:
    """Send the caller a recorded response."""
    headers = [(kept.name, kept.value) for kept in reply.headers or ()]
    headers.append(REPLAY_HEADER)
    head = responses.Head(status=reply.status, headers=tuple(headers))
    await sink.send(head, reply.body or b'')
