"""Put together what the logs of many processes say of one request."""

from __future__ import annotations

import collections.abc
import json
import typing

import attrs

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
# Fields that every line has; the others are the inputs of a decision.
_PLAIN = frozenset(
    ('time', 'level', 'part', 'text', 'request_id', 'node', 'event'),
)


@attrs.frozen
class Line:
    """Be one line of a process's log."""

    time: str
    node: str
    event: str
    text: str
    request_id: str
    level: str
    fields: dict[str, typing.Any]

    @property
    def subject(self) -> tuple[str, ...]:
        """Return what a belief is about, so that the newest replaces others."""
        about = self.fields.get('target') or self.fields.get('address') or ''
        return self.node, self.event, str(about)


@attrs.frozen
class Story:
    """Be one request's lines in order, and what was believed before them.

    ``unreadable`` counts lines of the files that are no JSON of ours.
    """

    lines: tuple[Line, ...]
    beliefs: tuple[Line, ...]
    unreadable: int


def read(texts: collections.abc.Iterable[str]) -> tuple[list[Line], int]:
    """Read lines, each an object with or without something before it."""
    found = []
    unreadable = 0
    for text in texts:
        start = text.find('{')
        if start < 0:
            continue
        line = _line(text[start:])
        if line is None:
            unreadable += 1
            continue
        found.append(line)
    found.sort(key=_time)
    return found, unreadable


def tell(
    request_id: str,
    texts: collections.abc.Iterable[str],
) -> Story:
    """Find a request's story in the lines of many processes.

    Of beliefs those are kept that its own processes held when they decided:
    the newest of each subject, of targets only those that the request met.
    """
    every, unreadable = read(texts)
    own = [line for line in every if line.request_id == request_id]
    if not own:
        return Story((), (), unreadable)
    nodes = {line.node for line in own}
    met = {line.fields.get('target') for line in own}
    beliefs: dict[tuple[str, ...], Line] = {}
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


def _is_belief(line: Line, met: set[typing.Any]) -> bool:
    if line.event == _Event.TARGET:
        return line.fields.get('target') in met
    return line.event in _BELIEFS


def _line(text: str) -> Line | None:
    try:
        row = json.loads(text)
    except ValueError:
        return None
    if not isinstance(row, dict) or 'text' not in row or 'time' not in row:
        return None
    return Line(
        time=str(row['time']),
        node=str(row.get('node', '')),
        event=str(row.get('event', '')),
        text=str(row['text']),
        request_id=str(row.get('request_id', '')),
        level=str(row.get('level', '')),
        fields={name: held for name, held in row.items() if name not in _PLAIN},
    )


def _time(line: Line) -> str:
    return line.time
