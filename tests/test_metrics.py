"""Prove that metrics arrive and can't harm whoever sends them."""

import math
import socket
import unittest

from tamarackthread.generated import settings
from tamarackthread.shared import metrics


class TestMetrics(unittest.TestCase):
    """Send to a socket on loopback."""

    def setUp(self) -> None:
        """Listen as a statsd daemon would."""
        self._daemon = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self._daemon.close)
        self._daemon.bind(('127.0.0.1', 0))
        self._daemon.settimeout(10)
        port = self._daemon.getsockname()[1]
        self._sent = metrics.Metrics(
            settings.Statsd(host='127.0.0.1', port=port, prefix='tt')
        )
        self.addCleanup(self._sent.close)

    def _receive(self) -> str:
        return self._daemon.recv(512).decode()

    def test_each_kind(self) -> None:
        """Counters, gauges and timers have statsd's own forms."""
        self._sent.count(metrics.Counter.CALL_ASKED, 3)
        self._sent.level(metrics.Gauge.REVISION, 17)
        self._sent.time(metrics.Timer.FIRST_TOKEN, 0.25)
        self.assertEqual(self._receive(), 'tt.calls.asked:3|c')
        self.assertEqual(self._receive(), 'tt.config.revision:17|g')
        self.assertEqual(self._receive(), 'tt.calls.first_token:250.000000|ms')

    def test_no_daemon(self) -> None:
        """The daemon is gone, a value makes no sense, or nothing is set.

        The sender sees nothing of it: a datagram to a closed port is lost,
        a value that isn't a number is left out, and a closed sender is mute.
        """
        self._daemon.close()
        for _ in range(3):
            self._sent.count(metrics.Counter.CALL_ASKED)
        self._sent.level(metrics.Gauge.REVISION, math.nan)
        self._sent.close()
        self._sent.close()
        self._sent.count(metrics.Counter.CALL_ASKED)
        metrics.Metrics().time(metrics.Timer.CALL, 1)

    def test_socket_never_waits(self) -> None:
        """A full send buffer loses the datagram instead of waiting."""
        self.assertEqual(self._sent._client._sock.getblocking(), False)
