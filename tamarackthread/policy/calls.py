"""Describe a call as far as the decisions need to know it.

The facts hold no headers or body, so that a policy can be tested with a
handful of numbers.
"""

from __future__ import annotations

import enum

import attrs


class Priority(enum.IntEnum):
    """Order calls by urgency; a lower number goes first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


@attrs.frozen(slots=True, kw_only=True)
class CallFacts:
    """What is known about one call before it is routed.

    ``deadline`` is in the loop's seconds.  ``answer_tokens`` is the expected
    length of the answer, 0 when nobody knows; ``prefixes`` are the chained
    block hashes from ``affinity``, ``prefix_block_tokens`` tokens each.
    ``excluded`` names targets that were tried already, and ``is_resumed`` marks
    a started call that lost its target.  ``resume_offset`` is the number of stream
    events that the caller already has.
    """

    organisation: str
    deadline: float
    priority: Priority = Priority.NORMAL
    prompt_tokens: int = 0
    answer_tokens: int = 0
    prefixes: tuple[int, ...] = ()
    idempotent: bool = False
    excluded: frozenset[str] = frozenset()
    is_resumed: bool = False
    resume_offset: int = 0

    @property
    def bypasses_queue(self) -> bool:
        """Tell whether the call passes the fair queue."""
        return self.is_resumed or self.priority == Priority.URGENT

    @property
    def cost(self) -> float:
        """Weigh the call for fair shares, in units of one plain call."""
        return 1 + (self.prompt_tokens + 4 * self.answer_tokens) / 1000
