"""Describe a call as policies see it, without headers or body."""

from __future__ import annotations

import enum

import attrs


class Priority(enum.IntEnum):
    """Order calls by urgency; a lower number is more urgent."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


@attrs.frozen(slots=True, kw_only=True)
class CallFacts:
    """What is known about one call before it is routed."""

    organisation: str
    # In seconds of the event loop's clock.
    deadline: float
    priority: Priority = Priority.NORMAL
    prompt_tokens: int = 0
    # Expected length of the answer, 0 if unknown.
    answer_tokens: int = 0
    # Chained block hashes from ``affinity``.
    prefixes: tuple[int, ...] = ()
    idempotent: bool = False
    # Names of targets that were tried already.
    excluded: frozenset[str] = frozenset()
    # Whether the call has lost or left a target after it was started.
    is_resumed: bool = False
    # Number of stream events that the caller already has.
    resume_offset: int = 0

    @property
    def bypasses_queue(self) -> bool:
        """Tell whether the call bypasses the fair queue."""
        return self.is_resumed or self.priority == Priority.URGENT

    @property
    def cost(self) -> float:
        """Return the call's weight in fair queueing; 1 is an empty call."""
        return 1 + (self.prompt_tokens + 4 * self.answer_tokens) / 1000
