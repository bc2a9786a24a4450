"""Format log lines as ``PART: message`` with the request id of the task, and
write them in a thread.
"""

from __future__ import annotations

import collections.abc
import contextlib
import contextvars
import datetime
import json
import logging
import logging.handlers
import queue
import sys
import threading
import typing

from tamarackthread.generated import settings

ROOT = 'tamarackthread'
MAX_QUEUED_LINES = 10_000
CLOSE_TIMEOUT_SECONDS = 2.0

_request_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    'request_id', default=''
)


def request_id() -> str:
    """Return the request id of the current task, empty outside a request."""
    return _request_id.get()


@contextlib.contextmanager
def request(identity: str) -> collections.abc.Iterator[None]:
    """Add a request id to log lines of this task and of tasks it starts."""
    token = _request_id.set(identity)
    try:
        yield
    finally:
        _request_id.reset(token)


def get_logger(part: str) -> logging.Logger:
    """Return the logger of a part, such as ``entry`` or ``consensus``."""
    return logging.getLogger(f'{ROOT}.{part}')


class TextFormatter(logging.Formatter):
    """Format records as lines of text."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record; a traceback follows on further lines."""
        line = f'{_time(record)} {record.levelname} {_message(record)}'
        identity = getattr(record, 'request_id', '')
        if identity:
            line = f'{line} [{identity}]'
        if record.exc_info:
            line = f'{line}\n{self.formatException(record.exc_info)}'
        # A strict output would lose a line that quotes what is no text.
        return line.encode(errors='backslashreplace').decode()


class JsonFormatter(logging.Formatter):
    """Format records as JSON objects, one a line."""

    def __init__(self, node: str = '') -> None:
        """Set the node that each line names."""
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        """Format a record with any traceback as a string."""
        fields = {
            'time': _time(record),
            'level': record.levelname.lower(),
            'part': _part(record),
            'text': _message(record),
            'request_id': getattr(record, 'request_id', ''),
            'node': self._node,
            'event': getattr(record, 'event', ''),
            **getattr(record, 'fields', {}),
        }
        if record.exc_info:
            fields['traceback'] = self.formatException(record.exc_info)
        return json.dumps(fields)


class _DroppingQueueHandler(logging.handlers.QueueHandler):
    """Bounded queue to the writer thread: a blocked output must not stall the
    event loop.  Excess lines are dropped and their count is logged later.
    """

    def __init__(self, lines: queue.Queue[logging.LogRecord]) -> None:
        super().__init__(lines)
        self._dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Store the request id, which the writer thread cannot see."""
        record.request_id = request_id()
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop and count it if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1
            return
        if self._dropped:
            self._report_dropped()

    def _report_dropped(self) -> None:
        warning = logging.LogRecord(
            f'{ROOT}.logs',
            logging.WARNING,
            '',
            0,
            'logs: dropped %d lines, output was blocked',
            (self._dropped,),
            None,
        )
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(warning)
            self._dropped = 0


class Writer:
    """Write the log in a daemon thread until closed."""

    def __init__(
        self,
        options: settings.Logs,
        stream: typing.TextIO,
        max_queued_lines: int = MAX_QUEUED_LINES,
        node: str = '',
    ) -> None:
        """Replace the handlers of the package's logger and start the thread."""
        self._node = node
        self._lines: queue.Queue[logging.LogRecord | None]
        self._lines = queue.Queue(max_queued_lines)
        self._output = logging.StreamHandler(stream)
        self._queue = _DroppingQueueHandler(
            typing.cast(queue.Queue, self._lines)
        )
        self._logger = logging.getLogger(ROOT)
        self._logger.propagate = False
        self._logger.handlers = [self._queue]
        self.change(options)
        # A daemon thread cannot keep the process alive if output is blocked.
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def change(self, options: settings.Logs) -> None:
        """Apply a changed level or format."""
        formatter = (
            JsonFormatter(self._node) if options.json else TextFormatter()
        )
        self._output.setFormatter(formatter)
        self._logger.setLevel(options.level.upper())

    def flush(self) -> None:
        """Wait without a timeout until all queued lines are written."""
        self._lines.join()

    def close(self) -> None:
        """Detach from the logger and write queued lines until a timeout."""
        self._logger.removeHandler(self._queue)
        with contextlib.suppress(queue.Full):
            self._lines.put(None, timeout=CLOSE_TIMEOUT_SECONDS)
        self._thread.join(CLOSE_TIMEOUT_SECONDS)

    def _write(self) -> None:
        while True:
            record = self._lines.get()
            if record is None:
                return
            self._output.handle(record)
            self._lines.task_done()


def start(
    options: settings.Logs,
    stream: typing.TextIO | None = None,
    node: str = '',
) -> Writer:
    """Start to write the log, by default to standard error."""
    return Writer(options, stream or sys.stderr, node=node)


def _time(record: logging.LogRecord) -> str:
    moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%S.%fZ')


def _part(record: logging.LogRecord) -> str:
    return record.name.removeprefix(ROOT).strip('.') or ROOT


def _message(record: logging.LogRecord) -> str:
    text = record.getMessage().replace('\n', ' ')
    prefix = f'{_part(record)}: '
    return text if text.startswith(prefix) else f'{prefix}{text}'
