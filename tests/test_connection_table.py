"""Test which connections are closed when a server runs out of room."""

import random
import types
import unittest

from tamarackthread.shared import connection_table

KIBIBYTE = 1 << 10
ROOM = 1024 * KIBIBYTE
CONNECTIONS = 12
HISTORIES = 200
STEPS = 60
LIMITS = connection_table.ClientLimits(
    header_seconds=3, body_seconds=30, idle_seconds=15
)
Phase = connection_table.Phase
Purpose = connection_table.Purpose
Reason = connection_table.Reason


class Peer:
    """A client's end: what it has yet to take, and why it was closed."""

    def __init__(self):
        self.unsent = 0
        self.reason = None
        self.connection = connection_table.Connection(
            self.close, lambda: self.unsent
        )

    def close(self, reason):
        self.reason = reason

    def hold(self, size, purpose=Purpose.BODY):
        self.connection.hold(purpose, size)


class TableCase(unittest.TestCase):
    def setUp(self):
        self.now = 0
        self.table = connection_table.ConnectionTable(
            connection_table.Bounds(CONNECTIONS, ROOM), lambda: self.now
        )

    def open(self, phase=Phase.IDLE):
        peer = Peer()
        self.table.open(peer.connection)
        peer.connection.enter(phase)
        return peer


class RoomCase(TableCase):
    def test_largest_for_longest_goes(self):
        """Guards against a bound that the next ordinary caller pays for."""
        holder = self.open(Phase.STALLED)
        holder.hold(600 * KIBIBYTE)
        self.now = 5
        smaller = self.open(Phase.BODY)
        smaller.hold(300 * KIBIBYTE)
        ordinary = self.open(Phase.CALL)
        ordinary.hold(40 * KIBIBYTE)
        next_one = self.open(Phase.BODY)
        next_one.hold(200 * KIBIBYTE)
        self.assertEqual(Reason.BYTES, holder.reason)
        for peer in (smaller, ordinary, next_one):
            self.assertIsNone(peer.reason)

    def test_asker_that_holds_most_is_refused(self):
        """Guards against a large client that turns others away as it grows."""
        others = [self.open(Phase.CALL) for _ in range(4)]
        for other in others:
            other.hold(100 * KIBIBYTE)
        largest = self.open(Phase.BODY)
        with self.assertRaises(connection_table.OutOfRoom):
            for size in range(0, ROOM, 64 * KIBIBYTE):
                largest.hold(size)
        self.assertFalse([peer for peer in others if peer.reason])
        self.assertLessEqual(self.table.held_bytes, ROOM)

    def test_single_large_client_is_served(self):
        """Guards against a bound that one allowed request meets in calm."""
        alone = self.open(Phase.BODY)
        alone.hold(ROOM - 64 * KIBIBYTE)
        self.assertIsNone(alone.reason)

    def test_closed_connection_holds_nothing(self):
        """Guards against bytes that are counted for a client that has left."""
        peer = self.open(Phase.CALL)
        peer.hold(400 * KIBIBYTE)
        self.table.remove(peer.connection)
        peer.hold(500 * KIBIBYTE)
        peer.connection.enter(Phase.IDLE)
        self.assertEqual((0, 0), (self.table.count, self.table.held_bytes))


class PlacesCase(TableCase):
    def test_waiting_ones_give_way(self):
        """Guards against silent connections that lock a caller out."""
        slow = self.open(Phase.HEAD)
        for _ in range(CONNECTIONS - 2):
            self.open(Phase.CALL)
        idle = self.open(Phase.IDLE)
        self.open()
        self.assertEqual(Reason.CONNECTIONS, slow.reason)
        self.assertIsNone(idle.reason)
        self.open(Phase.CALL)
        self.assertEqual(Reason.CONNECTIONS, idle.reason)

    def test_no_place(self):
        """Guards against calls that are cut off for a newcomer."""
        calls = [self.open(Phase.CALL) for _ in range(CONNECTIONS)]
        with self.assertRaises(connection_table.OutOfRoom):
            self.table.open(Peer().connection)
        self.assertTrue(all(call.reason is None for call in calls))
        self.assertEqual(CONNECTIONS, self.table.count)


class TimeCase(TableCase):
    def test_limits(self):
        """Guards against a phase that may last for ever."""
        expected = types.MappingProxyType(
            {
                Phase.IDLE: (15, Reason.IDLE),
                Phase.HEAD: (3, Reason.SLOW_HEAD),
                Phase.BODY: (30, Reason.SLOW_BODY),
                Phase.STALLED: (15, Reason.STALLED),
            }
        )
        for phase, (seconds, reason) in expected.items():
            with self.subTest(phase=phase):
                peer = self.open(phase)
                self.now += seconds - 0.1
                self.table.close_expired(LIMITS)
                self.assertIsNone(peer.reason)
                self.now += 0.2
                self.table.close_expired(LIMITS)
                self.assertEqual(reason, peer.reason)

    def test_slow_reader_stays(self):
        """Guards against a client that is closed for being slow."""
        reader = Peer()
        reader.unsent = 1000
        self.table.open(reader.connection)
        reader.connection.enter(Phase.STALLED)
        for _ in range(10):
            self.now += 14
            reader.unsent -= 1
            self.table.close_expired(LIMITS)
        self.assertIsNone(reader.reason)
        self.now += 16
        self.table.close_expired(LIMITS)
        self.now += 16
        self.table.close_expired(LIMITS)
        self.assertEqual(Reason.STALLED, reader.reason)


class HistoryCase(TableCase):
    def test_drawn_orders(self):
        """Guards against an order of events that breaks a bound."""
        for seed in range(HISTORIES):
            with self.subTest(seed=seed):
                self.setUp()
                self._play(random.Random(seed))

    def _play(self, rng):
        peers = []
        for _ in range(STEPS):
            self.now += rng.choice((0, 0, 0.1, 4))
            peers = [peer for peer in peers if peer.connection.table]
            if not peers or rng.random() < 0.4:
                peers += self._try_open(rng)
            else:
                self._change(rng, rng.choice(peers))
            self._check(peers)

    def _try_open(self, rng):
        try:
            return [self.open(rng.choice(list(Phase)))]
        except connection_table.OutOfRoom:
            return []

    def _change(self, rng, peer):
        if rng.random() < 0.2:
            peer.connection.enter(rng.choice(list(Phase)))
            self.table.close_expired(LIMITS)
            return
        size = rng.choice((0, 10, 40, 200, 900)) * KIBIBYTE
        try:
            peer.hold(size, rng.choice(list(Purpose)))
        except connection_table.OutOfRoom:
            self.assertTrue(peer.connection.table)

    def _check(self, peers):
        open_now = [peer for peer in peers if peer.connection.table]
        held = sum(peer.connection.held_bytes for peer in open_now)
        self.assertEqual(held, self.table.held_bytes)
        self.assertEqual(len(open_now), self.table.count)
        self.assertLessEqual(held, ROOM)
        self.assertLessEqual(len(open_now), CONNECTIONS)
        for peer in peers:
            if peer.reason is Reason.BYTES:
                self.assertGreater(peer.connection.excess_bytes, 0)
