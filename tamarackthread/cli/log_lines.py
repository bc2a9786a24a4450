"""Read structured log lines of many processes, and say which can't be read."""

from __future__ import annotations

import collections.abc
import datetime
import json
import math
import typing

import attrs

# Fields that every line has; the others are the inputs of a decision.
_PLAIN = frozenset(
    ('time', 'level', 'part', 'text', 'request_id', 'node', 'event'),
)


@attrs.frozen
class Line:
    """One line of a process's log.

    ``seconds`` are since the epoch, not a number where ``time`` tells none.
    """

    time: str
    seconds: float
    node: str
    event: str
    text: str
    request_id: str
    level: str
    fields: dict[str, typing.Any]

    @property
    def subject(self) -> tuple[str, ...]:
        """Return what a belief is about, so that the newest replaces others."""
        about = next(
            (
                self.fields[name]
                for name in ('target', 'targets', 'address')
                if self.fields.get(name)
            ),
            '',
        )
        return self.node, self.event, str(about)

    def number(self, name: str) -> float:
        """Return a field that is a number, 0 if it is none."""
        found = self.fields.get(name)
        return float(found) if isinstance(found, int | float) else 0


@attrs.frozen
class Location:
    """Where a line stands: ``number`` counts from 1."""

    file: str
    number: int

    def __str__(self) -> str:
        """Write it as FILE:LINE."""
        return f'{self.file}:{self.number}'


@attrs.frozen
class ParsedLogs:
    """All lines that could be read, by time, and the places of the rest."""

    lines: tuple[Line, ...]
    unreadable: tuple[Location, ...]


def read(
    files: collections.abc.Mapping[str, collections.abc.Iterable[str]],
    *,
    require_time: bool = False,
) -> ParsedLogs:
    """Read the lines of files, each an object with or without words before it.

    A line without any object is not ours and is passed over.  One that is cut
    or lacks its time is named by its place; with ``require_time`` also one whose
    time can't be read.
    """
    found: list[Line] = []
    unreadable: list[Location] = []
    for place, text in _numbered(files):
        line = parse(text)
        if line is None or (require_time and math.isnan(line.seconds)):
            unreadable.append(place)
            continue
        found.append(line)
    found.sort(key=_time)
    return ParsedLogs(tuple(found), tuple(unreadable))


def _numbered(
    files: collections.abc.Mapping[str, collections.abc.Iterable[str]],
) -> collections.abc.Iterator[tuple[Location, str]]:
    """Give each line that may be ours, without the words before it."""
    for name, texts in files.items():
        for number, text in enumerate(texts, start=1):
            _, brace, rest = text.partition('{')
            if brace:
                yield Location(name, number), brace + rest


def parse(text: str) -> Line | None:
    """Read one object, ``None`` if it is no line of ours."""
    try:
        row = json.loads(text)
    except ValueError:
        return None
    if not isinstance(row, dict) or 'text' not in row or 'time' not in row:
        return None
    return Line(
        time=str(row['time']),
        seconds=_seconds(row['time']),
        node=str(row.get('node', '')),
        event=str(row.get('event', '')),
        text=str(row['text']),
        request_id=str(row.get('request_id', '')),
        level=str(row.get('level', '')),
        fields={name: held for name, held in row.items() if name not in _PLAIN},
    )


def _seconds(time: typing.Any) -> float:
    try:
        return datetime.datetime.fromisoformat(time).timestamp()
    except (ValueError, TypeError):
        return math.nan


def _time(line: Line) -> str:
    return line.time
