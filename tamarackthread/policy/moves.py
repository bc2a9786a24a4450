"""Move weights in small pieces, in the background, out of the way of notices.

A queue hands out one piece at a time.  While urgent work is near it hands
out none, and a piece in flight is interrupted: its bytes are loaded again
later, the pieces before it are kept.
"""

from __future__ import annotations

import collections
import collections.abc

import attrs

from tamarackthread.shared import errors


class MovesCancelled(errors.CodedError):
    """Moves were cancelled before all weights were loaded."""

    code = 'TT5002'
    status = 409


@attrs.frozen
class Move:
    """One weight to load; ``urgent`` when no replica of it is left.

    Two moves of the same weight are equal whatever their urgency.
    """

    layer: int
    rank: int
    expert: int
    urgent: bool = attrs.field(default=False, eq=False)


@attrs.frozen
class Piece:
    """One part of a move, the smallest thing that is paused or resumed."""

    move: Move
    number: int


@attrs.frozen
class Progress:
    """What an operator sees of a queue; counts are in pieces."""

    loaded: int
    total: int
    interrupted: int
    cancelled: bool

    @property
    def is_complete(self) -> bool:
        """Tell whether every piece is loaded."""
        return self.loaded == self.total


class UrgentCallMonitor:
    """Know whether urgent work is near; times are in seconds.

    A hint comes when an entry has admitted an urgent call and its claim is
    still being recorded, so before the call itself.  After the last urgent
    call the watch stays on for ``pause_seconds``, because they come in bursts.
    """

    def __init__(
        self,
        pause_seconds: float = 0.05,
        hint_seconds: float = 0.25,
    ) -> None:
        """Set how long quiet must last and how long a hint counts."""
        self._pause_seconds = pause_seconds
        self._hint_seconds = hint_seconds
        self._running = 0
        self._until = float('-inf')

    @property
    def pause_seconds(self) -> float:
        """Give how long moves stand still after an urgent call."""
        return self._pause_seconds

    @pause_seconds.setter
    def pause_seconds(self, seconds: float) -> None:
        self._pause_seconds = seconds

    def hint(self, now: float) -> None:
        """Take note that an urgent call is on its way."""
        self._until = max(self._until, now + self._hint_seconds)

    def arrived(self, now: float) -> None:
        """Take note that an urgent call is here."""
        self._running += 1
        self._until = max(self._until, now + self._pause_seconds)

    def finished(self, now: float) -> None:
        """Take note that an urgent call has ended."""
        self._running -= 1
        self._until = max(self._until, now + self._pause_seconds)

    def must_pause(self, now: float) -> bool:
        """Tell whether moves must stand still."""
        return self._running > 0 or now < self._until

    def resume_at(self, now: float) -> float:
        """Return the earliest time for moves, infinite while a call runs."""
        if self._running > 0:
            return float('inf')
        return max(now, self._until)


class MoveQueue:
    """Hand out the pieces of one plan, those of urgent moves first.

    It is resumable: a queue made with the moves that a rank reports as
    loaded starts after them.
    """

    def __init__(
        self,
        moves: collections.abc.Iterable[Move],
        pieces_each: int,
        loaded: collections.abc.Container[Move] = (),
    ) -> None:
        """Queue the moves that are not loaded yet."""
        wanted = [move for move in moves if move not in loaded]
        wanted.sort(key=lambda move: not move.urgent)
        self._moves = collections.deque(wanted)
        self._pieces_each = pieces_each
        self._number = 0
        self._total = len(wanted) * pieces_each
        self._loaded = 0
        self._interrupted = 0
        self._in_flight: Piece | None = None
        self._cancelled = False

    @property
    def progress(self) -> Progress:
        """Return how far the queue has come."""
        return Progress(
            self._loaded,
            self._total,
            self._interrupted,
            self._cancelled,
        )

    def start(self, urgent_active: bool) -> Piece | None:
        """Hand out the next piece; ``None`` while paused, busy or at the end.

        A move for an expert without a replica is never paused: every call
        that needs the expert waits for it, urgent ones too.
        """
        if self._cancelled:
            raise MovesCancelled()
        if self._in_flight is not None or not self._moves:
            return None
        move = self._moves[0]
        if urgent_active and not move.urgent:
            return None
        self._in_flight = Piece(move, self._number)
        return self._in_flight

    def finish(self, piece: Piece) -> None:
        """Count the piece in flight as loaded."""
        if piece != self._in_flight:
            return
        self._in_flight = None
        self._loaded += 1
        self._number += 1
        if self._number == self._pieces_each:
            self._number = 0
            self._moves.popleft()

    def is_whole(self, piece: Piece) -> bool:
        """Tell whether a piece was its move's last and is loaded."""
        is_last = piece.number == self._pieces_each - 1
        is_queued = bool(self._moves) and self._moves[0] == piece.move
        return is_last and not is_queued

    def interrupt(self, piece: Piece) -> None:
        """Give the piece in flight back, to be loaded again later."""
        if piece != self._in_flight:
            return
        self._in_flight = None
        self._interrupted += 1

    def cancel(self) -> None:
        """Stop for good; weights already loaded stay where they are."""
        self._cancelled = True
        self._in_flight = None
