"""Send counters, gauges and timers to a statsd daemon, over UDP.

A metric must never cost a call: nothing here waits or raises.  A datagram that
the kernel won't take at once is lost, and without settings nothing is sent.
Every name is listed here, so that a page of graphs can be made from this file.
"""

from __future__ import annotations

import enum
import math

import statsd

from tamarackthread.generated import settings

MILLISECONDS = 1000


class Counter(enum.StrEnum):
    """Name what is counted."""

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
    """Name what is a level."""

    CALLS_RUNNING = 'calls.running'
    CALLS_QUEUED = 'calls.queued'
    LINKS = 'links.open'
    REVISION = 'config.revision'
    TARGETS = 'targets.known'
    LOG_INDEX = 'consensus.log_index'
    STEP_SKEW = 'maps.step_skew'


class Timer(enum.StrEnum):
    """Name what is timed; callers give seconds, statsd gets milliseconds."""

    FIRST_TOKEN = 'calls.first_token'
    CALL = 'calls.whole'
    CLAIM = 'claims.wait'
    CHANGE = 'changes.in_force'
    SYNC = 'storage.sync'
    LOOP_LAG = 'loop.lag'


class _Client(statsd.StatsClient):
    """Send without waiting.

    A blocking socket waits when the send buffer is full, and with it the
    event loop.  Not waiting loses the datagram instead, which statsd bears.
    """

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__(host, port, prefix, ipv6=':' in host)
        self._sock.setblocking(False)


class Metrics:
    """Send metrics, or nothing when no daemon is set."""

    def __init__(self, chosen: settings.Statsd | None = None) -> None:
        """Open a socket when a daemon is set; a bad address raises here."""
        self._client: _Client | None = None
        if chosen is not None:
            self._client = _Client(chosen.host, chosen.port, chosen.prefix)

    def count(self, counter: Counter, by: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(counter.value, by)

    def level(self, gauge: Gauge, height: float) -> None:
        """Set a gauge; what is not a finite number is left out."""
        if self._client is not None and math.isfinite(height):
            self._client.gauge(gauge.value, height)

    def time(self, timer: Timer, seconds: float) -> None:
        """Record a duration in seconds, measured on the loop's clock."""
        if self._client is not None and math.isfinite(seconds):
            self._client.timing(timer.value, seconds * MILLISECONDS)

    def close(self) -> None:
        """Send nothing from now on."""
        client = self._client
        self._client = None
        if client is not None:
            client.close()
