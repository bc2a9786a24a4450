"""Define what a replicated log drives: a deterministic state machine."""

from __future__ import annotations

import abc


class Machine(abc.ABC):
    """Hold the state that every member of a group derives from its log.

    All methods run on the event loop and must not await, read a clock, draw
    random numbers or depend on the order of a set: two members that apply the
    same commands must hold the same bytes.  A command that needs the time
    carries it, stamped by its proposer.
    """

    @abc.abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return the proposer's result.

        ``index`` is the command's place in the log, each greater than the
        last, with gaps.  A command that is wrong is answered, not raised: an
        exception here halts the group on every member.
        """

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state, from which ``restore`` can go on."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the state; empty ``data`` means the state at index 0."""
