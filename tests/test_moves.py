"""Test that loading weights does not delay urgent calls."""

import unittest

import numpy

from bench.engines import notices
from tamarackthread.policy import moves

MOVES = tuple(moves.Move(0, rank, rank + 10) for rank in range(4))


def _drain(queue: moves.MoveQueue) -> list[moves.Piece]:
    pieces = []
    while True:
        piece = queue.start(urgent_active=False)
        if piece is None:
            return pieces
        queue.finish(piece)
        pieces.append(piece)


class TestMoveQueue(unittest.TestCase):
    """Check the order, pauses and cancellation of moves."""

    def test_one_in_flight(self) -> None:
        """A second piece is handed out only after the first is finished."""
        queue = moves.MoveQueue(MOVES, 2)
        self.assertIsNotNone(queue.start(urgent_active=False))
        self.assertIsNone(queue.start(urgent_active=False))

    def test_pause(self) -> None:
        """No piece is handed out while urgent calls are active."""
        queue = moves.MoveQueue(MOVES, 2)
        self.assertIsNone(queue.start(urgent_active=True))

    def test_interrupted_piece_comes_again(self) -> None:
        """An interrupted piece is loaded again, earlier ones are kept."""
        queue = moves.MoveQueue(MOVES, 2)
        first = queue.start(urgent_active=False)
        queue.finish(first)
        second = queue.start(urgent_active=False)
        queue.interrupt(second)
        self.assertEqual(queue.start(urgent_active=False), second)
        self.assertEqual(queue.progress.loaded, 1)

    def test_lost_expert_first(self) -> None:
        """An expert without a replica goes first and is never paused."""
        lost = moves.Move(1, 1, 1, urgent=True)
        queue = moves.MoveQueue((*MOVES, lost), 2)
        self.assertEqual(queue.start(urgent_active=True).move, lost)

    def test_resume(self) -> None:
        """A new queue skips the moves that the rank has loaded."""
        queue = moves.MoveQueue(MOVES, 2, set(MOVES[:3]))
        self.assertEqual({piece.move for piece in _drain(queue)}, {MOVES[3]})

    def test_cancel(self) -> None:
        """A cancelled queue raises and reports the cancellation."""
        queue = moves.MoveQueue(MOVES, 2)
        queue.cancel()
        with self.assertRaises(moves.MovesCancelled):
            queue.start(urgent_active=False)
        self.assertTrue(queue.progress.cancelled)


class TestUrgentNotices(unittest.TestCase):
    """Replay moves and urgent notices together."""

    def _replay(self, pauses: bool) -> notices.Waits:
        settings = notices.PathSettings()
        replay = notices.PathReplay(settings, pauses=pauses)
        random = numpy.random.default_rng(3)
        for _ in range(20):
            wanted = [moves.Move(0, 0, number) for number in range(400)]
            queue = moves.MoveQueue(wanted, settings.pieces_each)
            calls = notices.draw_notices(random, 100, settings)
            replay.run(queue, calls, 100)
        return replay.waits

    def test_none_waits(self) -> None:
        """No notice waits for a move: the hint interrupts the piece in flight
        before the notice arrives.
        """
        waits = self._replay(pauses=True)
        self.assertGreater(waits.notices, 500)
        self.assertGreater(waits.interrupted, 50)
        self.assertEqual(waits.delayed, 0)

    def test_waits_are_counted(self) -> None:
        """Without pauses the same notices are delayed."""
        waits = self._replay(pauses=False)
        self.assertGreater(waits.delayed, 50)
        self.assertGreater(waits.longest, 0.001)
