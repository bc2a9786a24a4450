"""Define the deterministic state machine that a replicated log drives."""

from __future__ import annotations

import abc
import collections.abc
import contextlib
import struct

from tamarackthread.shared import errors

_READ_ERRORS = (TypeError, ValueError, OverflowError, struct.error)


class SnapshotUnreadable(errors.CodedError):
    """Snapshot has a valid checksum but can not be restored."""

    code = 'TT3012'


class StateMachine(abc.ABC):
    """State that every member of a group derives from its log.

    Methods run on the event loop and must be deterministic: no await, clock,
    randomness or set order.  A command carries its own time stamp.
    """

    @abc.abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return the proposer's result.

        ``index`` increases, with gaps.  Invalid commands are answered: an
        exception halts the group on every member.
        """

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state for ``restore``."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the state; empty ``data`` is the state at index 0."""


@contextlib.contextmanager
def reading_snapshot() -> collections.abc.Iterator[None]:
    """Turn any error while reading a snapshot into ``SnapshotUnreadable``."""
    # A snapshot of another version may lack a part that this one needs.
    try:
        yield
    except _READ_ERRORS as exc:
        raise SnapshotUnreadable(str(exc)) from exc
