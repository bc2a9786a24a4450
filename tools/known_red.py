"""Read the list of tests that are known to fail for a real fault.

``KNOWN-RED.txt`` has one line for each: test, cause, issue.  A listed test
that fails is printed and passed over; one that passes is itself a failure, so
that the list can't outlive its faults.
"""

from __future__ import annotations

import pathlib

import attrs

FILE = 'KNOWN-RED.txt'
MOST = 3


class ListInvalid(Exception):
    """The list of known failures breaks its own rules."""


@attrs.frozen
class Known:
    """One known failure: the test's dotted id, its cause, its issue."""

    test: str
    cause: str
    issue: str


def read(folder: pathlib.Path) -> dict[str, Known]:
    """Read the list below ``folder``; raise ``ListInvalid`` on misuse."""
    path = folder / FILE
    if not path.exists():
        return {}
    known: dict[str, Known] = {}
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith('#'):
            continue
        entry = _parse(line)
        known[entry.test] = entry
    if len(known) > MOST:
        raise ListInvalid(f'{FILE} lists {len(known)} tests, {MOST} at most')
    return known


def _parse(line: str) -> Known:
    test, _, rest = line.partition(',')
    cause, _, issue = rest.rpartition(',')
    fields = [field.strip() for field in (test, cause, issue)]
    if not all(fields):
        raise ListInvalid(f'{FILE}: expected test, cause, issue: {line}')
    return Known(*fields)
