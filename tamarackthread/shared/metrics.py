"""Send counters, gauges and timers to statsd over UDP, without blocking."""

from __future__ import annotations

import enum
import math

import statsd

from tamarackthread.generated import settings

MILLISECONDS = 1000


class Counter(enum.StrEnum):
    """Names of counters."""

    CALL_ASKED = 'calls.asked'
    CALL_COMPLETE = 'calls.complete'
    CALL_NOT_RUN = 'calls.not_run'
    CALL_MAY_HAVE_RUN = 'calls.may_have_run'
    CALL_RETRIED = 'calls.retried'
    CALL_RESUMED = 'calls.resumed'
    CLAIM_GRANTED = 'claims.granted'
    CLAIM_REPEATED = 'claims.repeated'
    CLAIM_UNKNOWN = 'claims.unknown'
    LINK_LOST = 'links.lost'
    FRAME_REFUSED = 'links.frames_refused'
    ELECTION = 'consensus.elections'
    CHANGE_ACCEPTED = 'changes.accepted'
    CHANGE_CONFLICT = 'changes.conflict'
    TARGET_EJECTED = 'targets.ejected'
    MAP_SWITCHED = 'maps.switched'
    MAP_ABORTED = 'maps.aborted'
    WEIGHTS_MOVED = 'maps.weights_moved'


class Gauge(enum.StrEnum):
    """Names of gauges."""

    CALLS_RUNNING = 'calls.running'
    CALLS_QUEUED = 'calls.queued'
    LINKS = 'links.open'
    REVISION = 'config.revision'
    TARGETS = 'targets.known'
    LOG_INDEX = 'consensus.log_index'
    STEP_SKEW = 'maps.step_skew'


class Timer(enum.StrEnum):
    """Names of timers."""

    FIRST_TOKEN = 'calls.first_token'
    CALL = 'calls.whole'
    CLAIM = 'claims.wait'
    CHANGE = 'changes.in_force'
    SYNC = 'storage.sync'
    LOOP_LAG = 'loop.lag'


class _Client(statsd.StatsClient):
    """Client with a non-blocking socket: a full send buffer drops the datagram
    instead of blocking the event loop.
    """

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__(host, port, prefix, ipv6=':' in host)
        self._sock.setblocking(False)


class Metrics:
    """Send metrics, or nothing without settings."""

    def __init__(self, options: settings.Statsd | None = None) -> None:
        """Open a socket; raises ``OSError`` if the address is invalid."""
        self._client: _Client | None = None
        if options is not None:
            self._client = _Client(options.host, options.port, options.prefix)

    def count(self, counter: Counter, by: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(counter.value, by)

    def level(self, gauge: Gauge, value: float) -> None:
        """Set a gauge; a value that is not finite is ignored."""
        if self._client is not None and math.isfinite(value):
            self._client.gauge(gauge.value, value)

    def time(self, timer: Timer, seconds: float) -> None:
        """Record a duration in seconds; statsd gets milliseconds."""
        if self._client is not None and math.isfinite(seconds):
            self._client.timing(timer.value, seconds * MILLISECONDS)

    def close(self) -> None:
        """Close the socket; later metrics are ignored."""
        client = self._client
        self._client = None
        if client is not None:
            client.close()
