"""Trace one request through the logs of many processes."""

from __future__ import annotations

import collections.abc
import typing

import attrs

from tamarackthread.cli import log_lines
from tamarackthread.shared import log_events

_Event = log_events.Event
# Events that report the state of a process.
_STATE_EVENTS = frozenset(
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
class RequestTrace:
    """The lines of a request and the state that its processes then had.

    ``unreadable`` counts the malformed lines.
    """

    lines: tuple[log_lines.Line, ...]
    state_lines: tuple[log_lines.Line, ...]
    unreadable: int


def collect(
    request_id: str,
    texts: collections.abc.Iterable[str],
) -> RequestTrace:
    """Collect the lines of a request and the state before its last line."""
    # Limited to the processes and targets that handled the request; of each
    # state, only the newest line counts.
    parsed = log_lines.read({'': texts})
    all_lines = parsed.lines
    unreadable = len(parsed.unreadable)
    own_lines = [line for line in all_lines if line.request_id == request_id]
    if not own_lines:
        return RequestTrace((), (), unreadable)
    nodes = {line.node for line in own_lines}
    targets = {line.fields.get('target') for line in own_lines}
    state_lines: dict[tuple[str, ...], log_lines.Line] = {}
    for line in all_lines:
        if line.time > own_lines[-1].time:
            break
        if line.node in nodes and _is_relevant_state(line, targets):
            state_lines[line.state_key] = line
    sorted_state = tuple(sorted(state_lines.values(), key=_time_of))
    return RequestTrace(tuple(own_lines), sorted_state, unreadable)


def format_lines(trace: RequestTrace) -> collections.abc.Iterator[str]:
    """Format a trace as text."""
    yield 'believed:'
    for line in trace.state_lines:
        yield f'  {line.time} {line.node} {line.text}'
    yield 'decided:'
    for line in trace.lines:
        yield f'  {line.time} {line.node} {line.text}'
        inputs = [f'{name}={field}' for name, field in line.fields.items()]
        if inputs:
            yield f'      {" ".join(inputs)}'


def _is_relevant_state(line: log_lines.Line, targets: set[typing.Any]) -> bool:
    if line.event == _Event.TARGET:
        named = (line.fields.get('target'), *line.fields.get('targets', ()))
        return not targets.isdisjoint(named)
    return line.event in _STATE_EVENTS


def _time_of(line: log_lines.Line) -> str:
    return line.time
