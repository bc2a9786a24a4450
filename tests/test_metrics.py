"""Test that metrics arrive, and that sending never raises or blocks."""

import math
import socket
import unittest

from tamarackthread.generated import settings
from tamarackthread.shared import metrics


class TestMetrics(unittest.TestCase):
    """Send metrics to a socket on loopback."""

    def setUp(self) -> None:
        """Listen in place of a statsd daemon."""
        self._daemon = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self._daemon.close)
        self._daemon.bind(('127.0.0.1', 0))
        self._daemon.settimeout(10)
        port = self._daemon.getsockname()[1]
        self._metrics = metrics.Metrics(
            settings.Statsd(host='127.0.0.1', port=port, prefix='tt')
        )
        self.addCleanup(self._metrics.close)

    def _receive(self) -> str:
        return self._daemon.recv(512).decode()

    def test_each_kind(self) -> None:
        """Counters, gauges and timers follow the statsd protocol."""
        self._metrics.count(metrics.Counter.CALL_ASKED, 3)
        self._metrics.level(metrics.Gauge.REVISION, 17)
        self._metrics.time(metrics.Timer.FIRST_TOKEN, 0.25)
        self.assertEqual(self._receive(), 'tt.calls.asked:3|c')
        self.assertEqual(self._receive(), 'tt.config.revision:17|g')
        self.assertEqual(self._receive(), 'tt.calls.first_token:250.000000|ms')

    def test_no_daemon(self) -> None:
        """A missing daemon, a value that is not finite, a closed client or
        missing settings must not raise in the sender.
        """
        self._daemon.close()
        for _ in range(3):
            self._metrics.count(metrics.Counter.CALL_ASKED)
        self._metrics.level(metrics.Gauge.REVISION, math.nan)
        self._metrics.close()
        self._metrics.close()
        self._metrics.count(metrics.Counter.CALL_ASKED)
        metrics.Metrics().time(metrics.Timer.CALL, 1)

    def test_socket_never_waits(self) -> None:
        """A full send buffer drops the datagram instead of blocking."""
        self.assertEqual(self._metrics._client._sock.getblocking(), False)
