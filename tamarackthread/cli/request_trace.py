"""Put together what the logs of many processes say of one request."""

from __future__ import annotations

import collections.abc
import typing

import attrs

from tamarackthread.cli import log_lines
from tamarackthread.shared import log_events

_Event = log_events.Event
# What a process believes; the newest of each key before a request is shown.
_BELIEFS = frozenset(
    (
        _Event.CONFIGURATION.value,
        _Event.TARGET.value,
        _Event.DEPENDENCY.value,
        _Event.LEADER.value,
        _Event.MEMBERS.value,
        _Event.MAP.value,
        _Event.STARTED.value,
        _Event.STOPPING.value,
    ),
)


@attrs.frozen
class Story:
    """One request's lines in order, and what was believed before them.

    ``unreadable`` counts lines of the files that are no JSON of ours.
    """

    lines: tuple[log_lines.Line, ...]
    beliefs: tuple[log_lines.Line, ...]
    unreadable: int


def tell(
    request_id: str,
    texts: collections.abc.Iterable[str],
) -> Story:
    """Find a request's story in the lines of many processes.

    Of beliefs those are kept that its own processes held when they decided:
    the newest of each subject, of targets only those that the request met.
    """
    reading = log_lines.read({'': texts})
    every = reading.lines
    unreadable = len(reading.unreadable)
    own = [line for line in every if line.request_id == request_id]
    if not own:
        return Story((), (), unreadable)
    nodes = {line.node for line in own}
    met = {line.fields.get('target') for line in own}
    beliefs: dict[tuple[str, ...], log_lines.Line] = {}
    for line in every:
        if line.time > own[-1].time:
            break
        if line.node in nodes and _is_belief(line, met):
            beliefs[line.subject] = line
    held = tuple(sorted(beliefs.values(), key=_time))
    return Story(tuple(own), held, unreadable)


def describe(story: Story) -> collections.abc.Iterator[str]:
    """Write a story as lines for people."""
    yield 'believed:'
    for line in story.beliefs:
        yield f'  {line.time} {line.node} {line.text}'
    yield 'decided:'
    for line in story.lines:
        yield f'  {line.time} {line.node} {line.text}'
        inputs = [f'{name}={held}' for name, held in line.fields.items()]
        if inputs:
            yield f'      {" ".join(inputs)}'


def _is_belief(line: log_lines.Line, met: set[typing.Any]) -> bool:
    if line.event == _Event.TARGET:
        named = (line.fields.get('target'), *line.fields.get('targets', ()))
        return not met.isdisjoint(named)
    return line.event in _BELIEFS


def _time(line: log_lines.Line) -> str:
    return line.time
