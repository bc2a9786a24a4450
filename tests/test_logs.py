"""Test the format of log lines, and that a blocked output blocks no caller."""

import contextvars
import io
import json
import logging
import threading
import unittest

from tamarackthread.generated import settings
from tamarackthread.shared import logs


class _StuckStream(io.StringIO):
    """Stream that blocks writes until released, like a full pipe."""

    def __init__(self) -> None:
        super().__init__()
        self.reached = threading.Event()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        """Write after the release."""
        self.reached.set()
        self.released.wait()
        return super().write(text)


class TestLogs(unittest.TestCase):
    """Check the lines written to a stream."""

    def test_line_that_is_no_text(self) -> None:
        """Guards against a line that is lost for what it quotes."""
        formatter = logs.TextFormatter()
        record = logging.makeLogRecord(
            {'msg': 'refused \ud83d', 'name': logs.ROOT}
        )
        self.assertIn(b'refused', formatter.format(record).encode())

    def _lines(self, chosen: settings.Logs) -> list[str]:
        stream = io.StringIO()
        writer = logs.start(chosen, stream)
        log = logs.get_logger('entry')
        log.debug('left out')
        with logs.request('3f2a'):
            context = contextvars.copy_context()
        context.run(log.warning, 'entry: call %s refused', '3f2a')
        log.info('started')
        writer.close()
        return stream.getvalue().splitlines()

    def test_text(self) -> None:
        """The prefix appears once, the request id only inside the request."""
        first, second = self._lines(settings.Logs())
        self.assertTrue(
            first.endswith('Z WARNING entry: call 3f2a refused [3f2a]')
        )
        self.assertTrue(second.endswith('Z INFO entry: started'))

    def test_json(self) -> None:
        """Each line is one object with fixed fields."""
        first, second = map(json.loads, self._lines(settings.Logs(json=True)))
        self.assertEqual(first['request_id'], '3f2a')
        self.assertEqual(first['text'], 'entry: call 3f2a refused')
        self.assertEqual((second['part'], second['level']), ('entry', 'info'))

    def test_traceback(self) -> None:
        """The traceback of an exception is written."""
        stream = io.StringIO()
        writer = logs.start(settings.Logs(level='error'), stream)
        failure = ValueError('nonsense')
        logs.get_logger('link').error('request failed', exc_info=failure)
        writer.close()
        self.assertIn('ValueError: nonsense', stream.getvalue())

    def test_stuck_reader(self) -> None:
        """A blocked output must not block callers: lines over the limit are
        dropped, and their count follows the next line that is queued.
        """
        stream = _StuckStream()
        writer = logs.Writer(settings.Logs(), stream, max_queued_lines=2)
        log = logging.getLogger('tamarackthread.entry')
        log.info('line 0')
        stream.reached.wait()
        for number in range(1, 6):
            log.info('line %d', number)
        stream.released.set()
        writer.flush()
        log.info('line 6')
        writer.close()
        texts = [
            line.split('INFO ')[-1] for line in stream.getvalue().split('\n')
        ]
        self.assertEqual(
            texts[:4],
            [
                'entry: line 0',
                'entry: line 1',
                'entry: line 2',
                'entry: line 6',
            ],
        )
        self.assertTrue(
            texts[4].endswith('dropped 3 lines, output was blocked')
        )
