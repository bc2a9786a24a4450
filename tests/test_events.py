"""Test that events of a stream are found in each line ending."""

import random
import unittest
from unittest import mock

from tamarackthread.shared import events

LINE_ENDS = (b'\n', b'\r', b'\r\n')
SEEDS = range(8)
EVENT_BYTES = 128 << 10
PIECE = b'data: x\n' * 16
LINES = (b': hi', b'', b'id: 1', b'data: a', b'', b'data: b', b'', b'')


def fed(pieces):
    splitter = events.EventSplitter()
    blocks = []
    for piece in pieces:
        blocks.extend(splitter.feed(piece))
    return splitter, blocks


class LineEndCase(unittest.TestCase):
    def test_each_line_end(self):
        """Guards against events that are held back until the stream ends."""
        for line_end in LINE_ENDS:
            sent = line_end.join(LINES)
            with self.subTest(line_end):
                splitter, blocks = fed([sent])
                found = [block.number for block in blocks if block.is_event]
                self.assertEqual([1, -1], found)
                self.assertEqual(sent, events.join(blocks))
                self.assertTrue(splitter.is_at_boundary)

    def test_each_cut(self):
        """Guards against a CRLF that counts as two when it is cut."""
        sent = b'\r\n'.join(LINES)
        for cut, _ in enumerate(sent):
            splitter, blocks = fed([sent[:cut], sent[cut:]])
            self.assertEqual(sent, events.join(blocks))
            self.assertEqual(2, splitter.count)

    def test_mixed_line_ends(self):
        """Guards against a CRLF line end that is taken for a blank line."""
        splitter, blocks = fed([b'id: 1\r\ndata: a\r\n', b'\r', b'data: b'])
        self.assertEqual([1], [block.number for block in blocks])
        self.assertEqual(b'data: b', splitter.rest)


class EndCase(unittest.TestCase):
    def test_ends_outside_of_events(self):
        """Guards against whole streams that count as broken off."""
        for sent in (b'', b'data: a\n\n\n', b'\xef\xbb\xbf', b': c\n', b'\r'):
            with self.subTest(sent):
                self.assertTrue(fed([sent])[0].is_at_boundary)

    def test_ends_inside_events(self):
        """Guards against broken streams that count as whole."""
        for sent in (b'd', b'data: a', b'data: a\n', b'id: 1\r\n', b': c'):
            with self.subTest(sent):
                self.assertFalse(fed([b'data: z\n\n', sent])[0].is_at_boundary)

    def test_done_is_no_event(self):
        """Guards against a resumed stream that skips an event."""
        splitter, _ = fed([b': c\r\n\r\ndata: a\r\n\r\ndata: [DONE]\r\n\r\n'])
        self.assertEqual(1, splitter.count)
        self.assertTrue(splitter.done)


class _Counting:
    """A pattern that counts the bytes that it looks at."""

    def __init__(self, pattern):
        self.bytes = 0
        self._pattern = pattern

    def search(self, text, start=0):
        self.bytes += len(text) - start
        return self._pattern.search(text, start)


class SplitterCase(unittest.TestCase):
    def test_cost_of_large_event(self):
        """Guards against a cost that is the square of an event's size."""
        counting = _Counting(events._BLOCK_END)
        splitter = events.EventSplitter()
        with mock.patch.object(events, '_BLOCK_END', counting):
            for _ in range(EVENT_BYTES // len(PIECE)):
                self.assertEqual([], splitter.feed(PIECE))
        self.assertEqual(EVENT_BYTES, len(splitter.rest))
        self.assertLess(counting.bytes, 3 * EVENT_BYTES)

    def test_drawn_pieces(self):
        """Guards against events that depend on how a stream was cut."""
        parts = (b'data: x', b'id: 7', b': c', b'\n', b'\r', b'\r\n', b'\n\n')
        for seed in SEEDS:
            rng = random.Random(seed)
            stream = b''.join(rng.choice(parts) for _ in range(200))
            splitter = events.EventSplitter()
            blocks = []
            position = 0
            while position < len(stream):
                size = rng.randint(1, 9)
                blocks += splitter.feed(stream[position : position + size])
                position += size
            self.assertEqual(stream, events.join(blocks) + splitter.rest)
            at_once = events.EventSplitter().feed(stream)
            self.assertEqual(_events(at_once), _events(blocks), seed)


def _events(blocks):
    """Return events without the last line end, which may come by itself."""
    return [block.payload.rstrip() for block in blocks if block.is_event]
