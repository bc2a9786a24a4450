"""Decide which of a server's connections are closed when it runs out of room.

A limit of each connection bounds nothing while clients decide their number, so
the sum over all of them is bounded.  At a bound those go first that hold most
for longest without progress, and never one that holds as little as an ordinary
client does.
"""

from __future__ import annotations

import collections
import collections.abc
import enum
import math

import attrs

from tamarackthread.shared import errors

# What the objects of an open connection take.
CONNECTION_BYTES = 16 << 10
# What a connection may hold and still be an ordinary client's.
ORDINARY_BYTES = 64 << 10
# Room is made down to this share of the bound, so that it is not made for each
# byte that comes.
LOW_WATER_SHARE = 0.9
RETRY_AFTER_SECONDS = 1.0


class OutOfRoom(errors.CodedError):
    """Connections hold as many bytes as this process has room for."""

    code = 'TT1012'
    status = 503

    def __init__(
        self, text: str = '', retry_after: float = RETRY_AFTER_SECONDS
    ) -> None:
        """Ask the client to return when others may have left."""
        super().__init__(text, retry_after)


class Phase(enum.Enum):
    """What a connection waits for."""

    # The first byte of a request.
    IDLE = enum.auto()
    # The end of a head.
    HEAD = enum.auto()
    # The end of a body.
    BODY = enum.auto()
    # The server's answer.
    CALL = enum.auto()
    # The client, which doesn't read its answer.
    STALLED = enum.auto()


class Reason(enum.StrEnum):
    """Why a connection is closed."""

    IDLE = 'idle'
    SLOW_HEAD = 'slow_head'
    SLOW_BODY = 'slow_body'
    LONG_HEAD = 'long_head'
    STALLED = 'stalled'
    BYTES = 'bytes'
    CONNECTIONS = 'connections'


class Purpose(enum.Enum):
    """What a connection holds bytes of."""

    HEADS = enum.auto()
    BODY = enum.auto()
    ANSWER = enum.auto()
    # Of an answer that its client doesn't read.
    UNSENT = enum.auto()


@attrs.frozen
class Bounds:
    """Bounds of a server's connections together."""

    connections: int
    held_bytes: int


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Limits of each client, with the defaults of a configuration."""

    header_bytes: int = 16 << 10
    # From the first byte of a head to its last.
    header_seconds: float = 3.0
    # Calls have deadlines of their own.
    body_seconds: float = math.inf
    idle_seconds: float = 15.0


class Connection:
    """One open connection and what it holds."""

    def __init__(
        self,
        close: collections.abc.Callable[[Reason], None],
        unsent_bytes: collections.abc.Callable[[], int],
    ) -> None:
        """Hold what every connection does.

        ``close`` closes it without delay; ``unsent_bytes`` returns how many bytes
        the client has yet to take.
        """
        self._close = close
        self._unsent_bytes = unsent_bytes
        self._sizes: dict[Purpose, int] = {}
        self._unsent_before = 0
        self.phase = Phase.IDLE
        self.since: float = 0
        self.table: ConnectionTable | None = None
        self.held_bytes = CONNECTION_BYTES

    @property
    def excess_bytes(self) -> int:
        """Return by how much it holds more than an ordinary client."""
        return max(0, self.held_bytes - ORDINARY_BYTES)

    def enter(self, phase: Phase) -> None:
        """Wait for something else from now on."""
        if self.table is not None:
            self._unsent_before = self._unsent_bytes()
            self.table.move(self, phase)

    def hold(self, purpose: Purpose, size: int) -> None:
        """Hold so many bytes for a purpose.

        Others may be closed to make room.  Raises ``OutOfRoom``, holding as
        before, if this connection would have to go.
        """
        before = self._sizes.get(purpose, 0)
        if size == before or self.table is None:
            return
        self._sizes[purpose] = size
        try:
            self.table.grow(self, size - before)
        except OutOfRoom:
            self._sizes[purpose] = before
            raise

    def held_for(self, purpose: Purpose) -> int:
        """Return the bytes that are held for a purpose."""
        return self._sizes.get(purpose, 0)

    def take_progress(self) -> bool:
        """Tell whether the client has taken bytes since the last question."""
        unsent = self._unsent_bytes()
        has_progress = unsent < self._unsent_before
        self._unsent_before = unsent
        return has_progress

    def close(self, reason: Reason) -> None:
        """Close the connection; its table has forgotten it."""
        self._close(reason)


class ConnectionTable:
    """All connections of a server."""

    def __init__(
        self,
        bounds: Bounds,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        """Hold no connection yet; ``clock`` returns seconds."""
        self._bounds = bounds
        self._clock = clock
        # Those of a phase, the longest in it first.
        self._phases: dict[Phase, dict[Connection, None]] = {
            phase: {} for phase in Phase
        }
        self._count = 0
        self._held_bytes = 0
        self._closed: collections.Counter[Reason] = collections.Counter()

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return self._count

    @property
    def held_bytes(self) -> int:
        """Return the bytes that all connections hold."""
        return self._held_bytes

    def take_closed(self) -> dict[str, int]:
        """Return how many were closed by reason since the last question."""
        closed = {reason.value: count for reason, count in self._closed.items()}
        self._closed.clear()
        return closed

    def open(self, connection: Connection) -> None:
        """Add a connection, in place of another if there is no room.

        Raises ``OutOfRoom`` if no other may be closed for it.
        """
        if self._count >= self._bounds.connections:
            self._replace_one()
        connection.table = self
        connection.since = self._clock()
        self._phases[connection.phase][connection] = None
        self._count += 1
        self._held_bytes += connection.held_bytes
        try:
            self._make_room(connection)
        except OutOfRoom:
            self.remove(connection)
            raise

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has closed."""
        if connection.table is not self:
            return
        connection.table = None
        self._phases[connection.phase].pop(connection)
        self._count -= 1
        self._held_bytes -= connection.held_bytes

    def move(self, connection: Connection, phase: Phase) -> None:
        """Put a connection at the end of a phase."""
        self._phases[connection.phase].pop(connection)
        connection.phase = phase
        connection.since = self._clock()
        self._phases[phase][connection] = None

    def grow(self, connection: Connection, by: int) -> None:
        """Hold more or fewer bytes; raise ``OutOfRoom``, holding as before."""
        self._held_bytes += by
        connection.held_bytes += by
        if by <= 0:
            return
        try:
            self._make_room(connection)
        except OutOfRoom:
            self._held_bytes -= by
            connection.held_bytes -= by
            raise

    def close_expired(self, limits: ClientLimits) -> None:
        """Close the connections without progress for longer than allowed."""
        idle = limits.idle_seconds
        self._expire(Phase.IDLE, idle, Reason.IDLE)
        self._expire(Phase.HEAD, limits.header_seconds, Reason.SLOW_HEAD)
        self._expire(Phase.BODY, limits.body_seconds, Reason.SLOW_BODY)
        self._expire(Phase.STALLED, idle, Reason.STALLED)

    def close(self, connection: Connection, reason: Reason) -> None:
        """Close one connection and forget it."""
        self.remove(connection)
        self._closed[reason] += 1
        connection.close(reason)

    def _expire(self, phase: Phase, seconds: float, reason: Reason) -> None:
        until = self._clock() - seconds
        waiting = self._phases[phase]
        while waiting:
            connection = next(iter(waiting))
            if connection.since > until:
                return
            if phase is Phase.STALLED and connection.take_progress():
                self.move(connection, phase)
                continue
            self.close(connection, reason)

    def _replace_one(self) -> None:
        """Close the connection that has waited longest; raise ``OutOfRoom``."""
        for phase in (Phase.HEAD, Phase.IDLE, Phase.STALLED):
            oldest = next(iter(self._phases[phase]), None)
            if oldest is not None:
                self.close(oldest, Reason.CONNECTIONS)
                return
        largest = max(self._all(), key=self._cost, default=None)
        if largest is None or not largest.excess_bytes:
            raise OutOfRoom(f'{self._count} connections are open')
        self.close(largest, Reason.CONNECTIONS)

    def _make_room(self, asker: Connection) -> None:
        """Close connections until there is room; raise ``OutOfRoom``."""
        if self._held_bytes <= self._bounds.held_bytes:
            return
        low_water = LOW_WATER_SHARE * self._bounds.held_bytes
        for connection in sorted(self._all(), key=self._cost, reverse=True):
            if self._held_bytes <= low_water or not connection.excess_bytes:
                break
            if connection is asker:
                raise OutOfRoom(f'{self._held_bytes} bytes are held')
            self.close(connection, Reason.BYTES)
        if self._held_bytes > self._bounds.held_bytes:
            raise OutOfRoom(f'{self._held_bytes} bytes are held')

    def _all(self) -> list[Connection]:
        return [
            connection
            for waiting in self._phases.values()
            for connection in waiting
        ]

    def _cost(self, connection: Connection) -> float:
        """Return what a connection holds beyond its share, times how long."""
        # The second lets the largest go first among those that have just come.
        seconds = 1 + self._clock() - connection.since
        return connection.excess_bytes * seconds
