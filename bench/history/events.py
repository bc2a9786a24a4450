"""Record what callers and hosts saw during one run."""

from __future__ import annotations

import math

import attrs

ACCEPTED = 'accepted'
CONFLICT = 'conflict'
REFUSED = 'refused'
UNKNOWN = 'unknown'
READ = 'read'


@attrs.frozen
class Operation:
    """One caller's change, with all its resends, or one read.

    Times are of the paused clock.  ``version`` is what the change made or
    what a conflict or a read showed; an operation whose outcome stayed
    unknown never ended.
    """

    caller: int
    outcome: str
    name: str
    began: float
    ended: float = math.inf
    change_id: str = ''
    version: int = 0
    body: str = ''
    based_on: int = 0


@attrs.frozen
class Applied:
    """One command as one host's machine applied it."""

    node: str
    index: int
    digest: int
    change_id: str
    is_fresh_accept: bool


@attrs.frozen
class Kept:
    """What one host holds at the end, after all faults are healed."""

    node: str
    state: int
    versions: dict[str, int]
    answers: dict[str, int]


@attrs.define
class History:
    """All that is known about one run."""

    seed: int
    operations: list[Operation] = attrs.field(factory=list)
    applied: list[Applied] = attrs.field(factory=list)
    accepted_by: dict[int, set[str]] = attrs.field(factory=dict)
    shared_leases: list[str] = attrs.field(factory=list)
    reverts: list[str] = attrs.field(factory=list)
    halts: list[str] = attrs.field(factory=list)
    kept: list[Kept] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)

    def render(self) -> str:
        """Print the run for people: faults and operations in order."""
        lines = [f'seed {self.seed}', *self.faults]
        for done in sorted(self.operations, key=lambda row: row.began):
            lines.append(
                f'{done.began:8.3f}-{done.ended:8.3f} caller {done.caller} '
                f'{done.name} {done.outcome} v{done.version} {done.change_id}'
            )
        return '\n'.join(lines)
