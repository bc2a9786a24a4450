"""Queue weights to load in the background, in pieces that can be interrupted so
that loading doesn't delay urgent calls.
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
    """One weight to load, ``urgent`` if it has no replica left; the urgency is
    not compared.
    """

    layer: int
    rank: int
    expert: int
    urgent: bool = attrs.field(default=False, eq=False)


@attrs.frozen
class Piece:
    """One part of a move, the unit of loading and interruption."""

    move: Move
    number: int


@attrs.frozen
class Progress:
    """The state of a queue, counted in pieces."""

    loaded: int
    total: int
    interrupted: int
    cancelled: bool

    @property
    def is_complete(self) -> bool:
        """Tell whether every piece is loaded."""
        return self.loaded == self.total


class UrgentCallMonitor:
    """Decide whether moves pause for urgent calls, from before an announced
    call arrives until a while after the last one, as they come in bursts.
    """

    def __init__(
        self,
        pause_seconds: float = 0.05,
        hint_seconds: float = 0.25,
    ) -> None:
        """Set the pause after an urgent call and the time to live of hints."""
        self._pause_seconds = pause_seconds
        self._hint_seconds = hint_seconds
        self._running_calls = 0
        self._paused_until = float('-inf')

    @property
    def pause_seconds(self) -> float:
        """Return how long moves pause after an urgent call."""
        return self._pause_seconds

    @pause_seconds.setter
    def pause_seconds(self, seconds: float) -> None:
        self._pause_seconds = seconds

    def hint(self, now: float) -> None:
        """Record that an entry has admitted an urgent call for this target."""
        self._paused_until = max(self._paused_until, now + self._hint_seconds)

    def arrived(self, now: float) -> None:
        """Record that an urgent call has arrived."""
        self._running_calls += 1
        self._paused_until = max(self._paused_until, now + self._pause_seconds)

    def finished(self, now: float) -> None:
        """Record that an urgent call has ended."""
        self._running_calls -= 1
        self._paused_until = max(self._paused_until, now + self._pause_seconds)

    def must_pause(self, now: float) -> bool:
        """Tell whether moves must pause."""
        return self._running_calls > 0 or now < self._paused_until

    def resume_at(self, now: float) -> float:
        """Return the earliest time for moves, infinite during a call."""
        if self._running_calls > 0:
            return float('inf')
        return max(now, self._paused_until)


class MoveQueue:
    """Hand out the pieces of one plan one at a time, urgent moves first."""

    def __init__(
        self,
        moves: collections.abc.Iterable[Move],
        pieces_each: int,
        loaded: collections.abc.Container[Move] = (),
    ) -> None:
        """Queue the moves that are not in ``loaded``, to resume a plan."""
        pending = [move for move in moves if move not in loaded]
        pending.sort(key=lambda move: not move.urgent)
        self._moves = collections.deque(pending)
        self._pieces_each = pieces_each
        self._next_number = 0
        self._total = len(pending) * pieces_each
        self._loaded = 0
        self._interrupted = 0
        self._in_flight: Piece | None = None
        self._cancelled = False

    @property
    def progress(self) -> Progress:
        """Return the progress of the queue."""
        return Progress(
            self._loaded,
            self._total,
            self._interrupted,
            self._cancelled,
        )

    def start(self, urgent_active: bool) -> Piece | None:
        """Hand out the next piece, or ``None`` while paused, busy or empty;
        raise ``MovesCancelled`` after a cancellation.
        """
        if self._cancelled:
            raise MovesCancelled()
        if self._in_flight is not None or not self._moves:
            return None
        # Urgent moves never pause: all calls that need the expert wait for it.
        move = self._moves[0]
        if urgent_active and not move.urgent:
            return None
        self._in_flight = Piece(move, self._next_number)
        return self._in_flight

    def finish(self, piece: Piece) -> None:
        """Count the piece in flight as loaded."""
        if piece != self._in_flight:
            return
        self._in_flight = None
        self._loaded += 1
        self._next_number += 1
        if self._next_number == self._pieces_each:
            self._next_number = 0
            self._moves.popleft()

    def completes_move(self, piece: Piece) -> bool:
        """Tell whether a loaded piece completed its move."""
        is_last_piece = piece.number == self._pieces_each - 1
        is_pending = bool(self._moves) and self._moves[0] == piece.move
        return is_last_piece and not is_pending

    def interrupt(self, piece: Piece) -> None:
        """Return the piece in flight to the queue, to load it again."""
        if piece != self._in_flight:
            return
        self._in_flight = None
        self._interrupted += 1

    def cancel(self) -> None:
        """Stop handing out pieces; loaded weights stay loaded."""
        self._cancelled = True
        self._in_flight = None
