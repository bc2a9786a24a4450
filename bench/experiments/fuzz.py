"""Feed seeded nonsense to everything that reads bytes.

Only coded errors may come out.  The same seed gives the same runs, so that a
fault named here can be raised again.
"""

from __future__ import annotations

import collections.abc
import time
import typing

from bench.fuzzing import files, links, parsers, report

SEED = 3
RUNS = 20_000
QUICK_RUNS = 400

Target = collections.abc.Callable[[int, int], report.Report]

# Each target with the share of the runs that it gets, by its cost.
TARGETS: tuple[tuple[Target, float], ...] = (
    (parsers.fuzz_messages, 5),
    (parsers.fuzz_headers, 5),
    (parsers.fuzz_events, 1),
    (parsers.fuzz_documents, 1),
    (parsers.fuzz_settings, 0.25),
    (parsers.fuzz_machines, 1),
    (parsers.fuzz_restores, 0.5),
    (parsers.fuzz_announcements, 1),
    (files.fuzz_logs, 0.25),
    (files.fuzz_states, 0.25),
    (links.fuzz_greetings, 0.02),
    (links.fuzz_frames, 0.02),
)


def run(quick: bool) -> dict[str, typing.Any]:
    """Run every target and return the counts."""
    runs = QUICK_RUNS if quick else RUNS
    done = []
    print('target        runs     accepted refused  faults  seconds')
    for target, share in TARGETS:
        started = time.perf_counter()
        counted = target(SEED, max(1, int(runs * share)))
        done.append(counted)
        print(
            f'{counted.target:13} {counted.runs:<8} {counted.accepted:<8} '
            f'{counted.refused.total():<8} {counted.faults.total():<7} '
            f'{time.perf_counter() - started:.1f}',
            flush=True,
        )
    for counted in done:
        for name, text in counted.shown.items():
            print(f'\n{counted.faults[name]} times {name}\n{text}')
    return _sum_up(done)


def _sum_up(done: list[report.Report]) -> dict[str, typing.Any]:
    return {
        'seed': SEED,
        'runs': sum(counted.runs for counted in done),
        'accepted': sum(counted.accepted for counted in done),
        'refused': sum(counted.refused.total() for counted in done),
        'faults': sum(counted.faults.total() for counted in done),
        'faults_by_target': {
            counted.target: dict(counted.faults)
            for counted in done
            if counted.faults
        },
    }
