"""Define what a replicated log drives: a deterministic state machine."""

from __future__ import annotations

import abc
import collections.abc
import contextlib
import struct

from tamarackthread.shared import errors

_NO_STATE = (TypeError, ValueError, OverflowError, struct.error)


class SnapshotUnreadable(errors.CodedError):
    """Snapshot is whole by its checksum, yet makes no state."""

    code = 'TT3012'


class StateMachine(abc.ABC):
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


@contextlib.contextmanager
def reading_snapshot() -> collections.abc.Iterator[None]:
    """Name what goes wrong while a snapshot's parts are taken in.

    A snapshot of another version may lack a part that this one needs.  Its
    failure then carries a code and not the name of whatever step met it.
    """
    try:
        yield
    except _NO_STATE as exc:
        raise SnapshotUnreadable(str(exc)) from exc
