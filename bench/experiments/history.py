"""Check histories of the replicated log, and that broken code is noticed.

Each history is one seed: operators race and resend while hosts, disks and the
network are broken, all on paused time.  Then each safeguard is taken out in
turn and seeds are run until the checker objects.
"""

from __future__ import annotations

import collections.abc
import typing

from bench.history import breaks, checker, runner

QUICK_HISTORIES = 20
HISTORIES = 400
FIRST_SEED = 1
BREAK_SEEDS = 400


def run_histories(count: int) -> tuple[int, int]:
    """Run sound code; return operations and violations, printing any."""
    operations = 0
    violations = 0
    for seed in range(FIRST_SEED, FIRST_SEED + count):
        verdict = runner.run_seed(seed)
        operations += len(verdict.history.operations)
        violations += len(verdict.violations)
        if verdict.violations:
            print(verdict.history.render())
            print('\n'.join(verdict.violations))
    return operations, violations


def seek(
    broken: breaks.Break, seeds: collections.abc.Iterable[int]
) -> tuple[int, str]:
    """Return the first seed that shows a break, and how; 0 if none does.

    A group that only gets stuck doesn't count: what is sought is a promise
    to a caller that was broken.
    """
    for seed in seeds:
        with broken.apply():
            verdict = runner.run_seed(seed)
        told = [row for row in verdict.violations if row != checker.STUCK]
        if told:
            return seed, told[0]
    return 0, 'not found'


def seeds_for(broken: breaks.Break, quick: bool) -> list[int]:
    """List the seeds to try; a quick run begins with one that is known."""
    if quick:
        return [broken.seed, *range(FIRST_SEED, QUICK_HISTORIES)]
    return list(range(FIRST_SEED, FIRST_SEED + BREAK_SEEDS))


def run_breaks(quick: bool) -> int:
    """Print a table of the breaks and return how many were found."""
    found = 0
    print('| Break | What it does | Seed | Found as |')
    print('| --- | --- | --- | --- |')
    for broken in breaks.ALL:
        seed, how = seek(broken, seeds_for(broken, quick))
        found += int(seed > 0)
        print(f'| {broken.name} | {broken.about} | {seed or "-"} | {how} |')
    return found


def run(quick: bool) -> dict[str, typing.Any]:
    """Run the histories, then the breaks, and return the figures."""
    histories = QUICK_HISTORIES if quick else HISTORIES
    operations, violations = run_histories(histories)
    return {
        'histories': histories,
        'operations': operations,
        'violations': violations,
        'seeded_breaks': len(breaks.ALL),
        'seeded_breaks_found': run_breaks(quick),
    }
