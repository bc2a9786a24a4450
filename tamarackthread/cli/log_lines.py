"""Parse the structured log lines of many processes."""

from __future__ import annotations

import collections.abc
import datetime
import json
import math
import typing

import attrs

# Fields common to all lines; the others belong to the event.
_COMMON_FIELDS = frozenset(
    ('time', 'level', 'part', 'text', 'request_id', 'node', 'event'),
)


@attrs.frozen
class Line:
    """One line of a process's log.

    ``seconds`` is the Unix time, NaN if ``time`` cannot be parsed.
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
    def state_key(self) -> tuple[str, ...]:
        """Return the key under which a newer state replaces an older one."""
        subject_name = next(
            (
                self.fields[name]
                for name in ('target', 'targets', 'address')
                if self.fields.get(name)
            ),
            '',
        )
        return self.node, self.event, str(subject_name)

    def number(self, name: str) -> float:
        """Return a numeric field, 0 if it is missing or not a number."""
        value = self.fields.get(name)
        return float(value) if isinstance(value, int | float) else 0


@attrs.frozen
class Location:
    """The position of a line; ``number`` counts from 1."""

    file: str
    number: int

    def __str__(self) -> str:
        """Format as FILE:LINE."""
        return f'{self.file}:{self.number}'


@attrs.frozen
class ParsedLogs:
    """All valid lines, sorted by time, and the locations of invalid ones."""

    lines: tuple[Line, ...]
    unreadable: tuple[Location, ...]


def read(
    files: collections.abc.Mapping[str, collections.abc.Iterable[str]],
    *,
    require_time: bool = False,
) -> ParsedLogs:
    """Parse lines of files, each a JSON object after an optional prefix."""
    # Lines without an object are skipped.  Malformed ones are reported, with
    # ``require_time`` also those whose time cannot be parsed.
    lines: list[Line] = []
    unreadable: list[Location] = []
    for location, text in _find_objects(files):
        line = parse(text)
        if line is None or (require_time and math.isnan(line.seconds)):
            unreadable.append(location)
            continue
        lines.append(line)
    lines.sort(key=_time_of)
    return ParsedLogs(tuple(lines), tuple(unreadable))


def _find_objects(
    files: collections.abc.Mapping[str, collections.abc.Iterable[str]],
) -> collections.abc.Iterator[tuple[Location, str]]:
    """Yield each line that has an object, without its prefix."""
    for name, texts in files.items():
        for number, text in enumerate(texts, start=1):
            _, brace, rest = text.partition('{')
            if brace:
                yield Location(name, number), brace + rest


def parse(text: str) -> Line | None:
    """Parse one object; return ``None`` if it is not a log line."""
    try:
        row = json.loads(text)
    except ValueError:
        return None
    if not isinstance(row, dict) or 'text' not in row or 'time' not in row:
        return None
    return Line(
        time=str(row['time']),
        seconds=_unix_seconds(row['time']),
        node=str(row.get('node', '')),
        event=str(row.get('event', '')),
        text=str(row['text']),
        request_id=str(row.get('request_id', '')),
        level=str(row.get('level', '')),
        fields={
            name: value
            for name, value in row.items()
            if name not in _COMMON_FIELDS
        },
    )


def _unix_seconds(time: typing.Any) -> float:
    try:
        return datetime.datetime.fromisoformat(time).timestamp()
    except (ValueError, TypeError):
        return math.nan


def _time_of(line: Line) -> str:
    return line.time
