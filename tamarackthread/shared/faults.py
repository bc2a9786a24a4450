"""Log and count faults of this process that it goes on after."""

from __future__ import annotations

import collections
import enum
import logging
import typing


class Part(enum.StrEnum):
    """Part of the process that a fault occurred in."""

    LINK = 'link'
    FEED = 'feed'
    TASK = 'task'


_log = logging.getLogger('tamarackthread.faults')
_counts: collections.Counter[Part] = collections.Counter()


def report(part: Part, text: str, fault: BaseException | None) -> None:
    """Log a fault with its traceback, and count it."""
    _counts[part] += 1
    _log.error('faults: %s: %s', part, text, exc_info=fault)


def count(part: Part) -> int:
    """Return the number of faults in a part since the process started."""
    return _counts[part]


def on_loop(loop: object, context: dict[str, typing.Any]) -> None:
    """Report what reached the event loop, such as the end of a task."""
    report(Part.TASK, context['message'], context.get('exception'))
