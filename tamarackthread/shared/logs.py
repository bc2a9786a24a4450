"""Write short log lines with a fixed prefix for each part.

A part logs to ``logging.getLogger('tamarackthread.PART')`` and its lines read
``PART: call 3f2a refused``.  The request id of the task that logs is added to
each line, so that one call can be followed through every part.  Times are the
host's wall clock, in UTC, because people compare lines of several hosts.
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
WAITING_LINES = 10_000
CLOSE_SECONDS = 2.0

_request_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    'request_id', default=''
)


def request_id() -> str:
    """Return the request id of the running task, empty outside a request."""
    return _request_id.get()


@contextlib.contextmanager
def request(identity: str) -> collections.abc.Iterator[None]:
    """Add a request id to all lines of this task and of those it starts."""
    token = _request_id.set(identity)
    try:
        yield
    finally:
        _request_id.reset(token)


def get_logger(part: str) -> logging.Logger:
    """Return the logger of a part, such as ``entry`` or ``consensus``."""
    return logging.getLogger(f'{ROOT}.{part}')


class TextFormatter(logging.Formatter):
    """Lay a record out as one line for people."""

    def format(self, record: logging.LogRecord) -> str:
        """Build the line; a traceback follows on lines of its own."""
        line = f'{_time(record)} {record.levelname} {_sentence(record)}'
        identity = getattr(record, 'request_id', '')
        if identity:
            line = f'{line} [{identity}]'
        if record.exc_info:
            line = f'{line}\n{self.formatException(record.exc_info)}'
        return line


class JsonFormatter(logging.Formatter):
    """Lay a record out as one JSON object."""

    def __init__(self, node: str = '') -> None:
        """Name the node in each line, so that lines of many can be mixed."""
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        """Build the object; a traceback is one string in it."""
        fields = {
            'time': _time(record),
            'level': record.levelname.lower(),
            'part': _part(record),
            'text': _sentence(record),
            'request_id': getattr(record, 'request_id', ''),
            'node': self._node,
            'event': getattr(record, 'event', ''),
            **getattr(record, 'fields', {}),
        }
        if record.exc_info:
            fields['traceback'] = self.formatException(record.exc_info)
        return json.dumps(fields)


class _Queue(logging.handlers.QueueHandler):
    """Hand records to the writer's thread without ever waiting.

    When whoever reads the log stops reading, a write to the full pipe blocks
    for good.  On the event loop that would stop heartbeats and look like a
    dead host.  Here only the thread waits: lines over the limit are dropped
    and counted, and the count is logged once the reader is back.
    """

    def __init__(self, lines: queue.Queue[logging.LogRecord]) -> None:
        super().__init__(lines)
        self._dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Note the request id here: the writer's thread has no context."""
        record.request_id = request_id()
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it when there is no room."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1
            return
        if self._dropped:
            self._report()

    def _report(self) -> None:
        note = logging.LogRecord(
            f'{ROOT}.logs',
            logging.WARNING,
            '',
            0,
            'logs: dropped %d lines, nobody read them',
            (self._dropped,),
            None,
        )
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(note)
            self._dropped = 0


class Writer:
    """Write the log in a thread of its own, until closed."""

    def __init__(
        self,
        chosen: settings.Logs,
        stream: typing.TextIO,
        waiting_lines: int = WAITING_LINES,
        node: str = '',
    ) -> None:
        """Take over the package's logger; ``change`` and ``close`` remain."""
        self._node = node
        self._lines: queue.Queue[logging.LogRecord | None]
        self._lines = queue.Queue(waiting_lines)
        self._output = logging.StreamHandler(stream)
        self._queue = _Queue(typing.cast(queue.Queue, self._lines))
        self._logger = logging.getLogger(ROOT)
        self._logger.propagate = False
        self._logger.handlers = [self._queue]
        self.change(chosen)
        # A daemon thread can't keep a stopped process alive when the log's
        # reader is stuck.
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def change(self, chosen: settings.Logs) -> None:
        """Use another level or form from the next line on."""
        form = JsonFormatter(self._node) if chosen.json else TextFormatter()
        self._output.setFormatter(form)
        self._logger.setLevel(chosen.level.upper())

    def flush(self) -> None:
        """Wait until all lines are written, however long that takes."""
        self._lines.join()

    def close(self) -> None:
        """Write what waits, for two seconds at most, and let go."""
        self._logger.removeHandler(self._queue)
        with contextlib.suppress(queue.Full):
            self._lines.put(None, timeout=CLOSE_SECONDS)
        self._thread.join(CLOSE_SECONDS)

    def _write(self) -> None:
        while True:
            record = self._lines.get()
            if record is None:
                return
            self._output.handle(record)
            self._lines.task_done()


def start(
    chosen: settings.Logs,
    stream: typing.TextIO | None = None,
    node: str = '',
) -> Writer:
    """Begin to write the log, to standard error unless told otherwise."""
    return Writer(chosen, stream or sys.stderr, node=node)


def _time(record: logging.LogRecord) -> str:
    moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%S.%fZ')


def _part(record: logging.LogRecord) -> str:
    return record.name.removeprefix(ROOT).strip('.') or ROOT


def _sentence(record: logging.LogRecord) -> str:
    text = record.getMessage().replace('\n', ' ')
    prefix = f'{_part(record)}: '
    return text if text.startswith(prefix) else f'{prefix}{text}'
