"""Record the outcomes of one module's tests as lines of JSON.

They are written one by one, so those before a crash of the process are kept.
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
    """Outcome of one test; ``text`` is a traceback or the reason of a skip."""

    test: str
    status: str
    text: str = ''


def to_line(outcome: Outcome) -> str:
    """Serialise an outcome as one line of JSON."""
    line = json.dumps(attrs.asdict(outcome))
    return f'{line}\n'


def read(path: pathlib.Path) -> list[Outcome]:
    """Read the last outcome of each test; a failure is never overwritten."""
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
