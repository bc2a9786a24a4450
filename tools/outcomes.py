"""Describe what came of the tests of one module, as lines of JSON.

The child that runs a module writes one line a test, so that the parent still
has the tests that ended before a crash.
"""

from __future__ import annotations

import json
import pathlib

import attrs

STARTED = 'started'
PASSED = 'passed'
FAILED = 'failed'
SKIPPED = 'skipped'


@attrs.frozen
class Outcome:
    """What came of one test; ``text`` is a traceback or a reason."""

    test: str
    status: str
    text: str = ''


def to_line(outcome: Outcome) -> str:
    """Write an outcome as one line of JSON."""
    line = json.dumps(attrs.asdict(outcome))
    return f'{line}\n'


def read(path: pathlib.Path) -> list[Outcome]:
    """Read a child's lines; a missing file means that nothing ran."""
    if not path.exists():
        return []
    merged: dict[str, Outcome] = {}
    for line in path.read_text().splitlines():
        outcome = Outcome(**json.loads(line))
        known = merged.get(outcome.test)
        if known is not None and known.status == FAILED:
            continue
        merged[outcome.test] = outcome
    return [_ended(outcome) for outcome in merged.values()]


def _ended(outcome: Outcome) -> Outcome:
    if outcome.status != STARTED:
        return outcome
    return Outcome(outcome.test, FAILED, 'began and did not end')
