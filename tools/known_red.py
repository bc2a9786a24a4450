"""Read ``KNOWN-RED.txt``, the list of expected failures: test, cause, issue.

A listed test that passes counts as a failure, so the list can't go stale.
"""

from __future__ import annotations

import pathlib

import attrs

FILE = 'KNOWN-RED.txt'
MAX_ENTRIES = 3
# Tests with crowds of clients have a line each, which don't count.
UNCOUNTED_PREFIX = 'tests.test_crowd_'


class ListInvalid(Exception):
    """The list of expected failures is malformed or too long."""


@attrs.frozen
class KnownFailure:
    """Expected failure of a test, named by its dotted id."""

    test: str
    cause: str
    issue: str


def read(folder: pathlib.Path) -> dict[str, KnownFailure]:
    """Read the list in ``folder``, by test id; raise ``ListInvalid``."""
    path = folder / FILE
    if not path.exists():
        return {}
    known: dict[str, KnownFailure] = {}
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith('#'):
            continue
        entry = _parse(line)
        known[entry.test] = entry
    counted = [test for test in known if not test.startswith(UNCOUNTED_PREFIX)]
    if len(counted) > MAX_ENTRIES:
        raise ListInvalid(
            f'{FILE} lists {len(counted)} tests, {MAX_ENTRIES} at most'
        )
    return known


def _parse(line: str) -> KnownFailure:
    test, _, rest = line.partition(',')
    cause, _, issue = rest.rpartition(',')
    fields = [field.strip() for field in (test, cause, issue)]
    if not all(fields):
        raise ListInvalid(f'{FILE}: expected test, cause, issue: {line}')
    return KnownFailure(*fields)
