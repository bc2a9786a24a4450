"""Define what the way of a call needs of its claim, with or without a key."""

from __future__ import annotations

import abc
import asyncio

from tamarackthread.entry import failures, fleet, responses
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_times, errors

HANDOVER_SECONDS = 10.0
REPLAY_HEADER = ('X-Tamarackthread-Replayed', 'true')


class CallClaim(abc.ABC):
    """The claim of one call that must not repeat, over all its attempts."""

    @property
    @abc.abstractmethod
    def is_in_doubt(self) -> bool:
        """Tell whether another try of this call may have run."""

    @abc.abstractmethod
    def wrap_sink(self, sink: responses.Sink) -> responses.Sink:
        """Give the sink that the answer must go through."""

    @abc.abstractmethod
    async def record_handover(
        self,
        opening: messages.OpenCall,
        connection: fleet.TargetConnection,
    ) -> None:
        """Put the claim for the next hand-over into the call."""

    @abc.abstractmethod
    async def resolve(
        self,
        reply: messages.ClaimReply | None = None,
    ) -> messages.ClaimReply | None:
        """Find out what became of the call, whose link was lost.

        Gives its whole answer, or a grant if it is proven not to have run,
        or ``None`` if nobody can tell.
        """

    @abc.abstractmethod
    def succeed(self) -> None:
        """Note that the caller has its whole answer."""

    @abc.abstractmethod
    async def fail(self, failure: errors.CodedError) -> None:
        """Note a failure, and correct what it says if need be."""

    @abc.abstractmethod
    def abandon(self, handed_over: bool) -> None:
        """Note that the caller is gone."""


def window(
    connection: fleet.TargetConnection, deadline: float
) -> messages.Handover:
    """Say where and until when a call may start, on the agent's clock.

    Raises ``ConnectionSilent`` when the agent's clock isn't known.
    """
    held = connection.current_link
    clock = held.peer_clock_ms() if held and not held.is_closed else None
    if held is None or clock is None:
        raise failures.ConnectionSilent(connection.name)
    left = deadline - asyncio.get_running_loop().time()
    seconds = min(left, HANDOVER_SECONDS)
    return messages.Handover(
        target=connection.name,
        address=connection.details.address,
        incarnation=held.peer.incarnation,
        until_ms=clock + int(seconds * claim_times.MILLISECONDS),
    )


async def replay(reply: messages.ClaimReply, sink: responses.Sink) -> None:
    """Give the caller a kept answer."""
    headers = [(kept.name, kept.value) for kept in reply.headers or ()]
    headers.append(REPLAY_HEADER)
    head = responses.Head(status=reply.status, headers=tuple(headers))
    await sink.send(head, reply.body or b'')
