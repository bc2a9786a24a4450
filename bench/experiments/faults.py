"""Break a cluster of real processes under mixed calls and check each promise.

Streams, lookups, keyed and keyless orders run while processes are killed,
stopped, isolated, silenced and restarted, some of it at the same time.
"""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import tempfile
import typing

import aiohttp
import attrs

from bench import load
from bench.checks import calls
from bench.faults import callers, schedule, stand

CALLS = 3200
QUICK_CALLS = 900
SECONDS = 90.0
QUICK_SECONDS = 30.0
SEED = 20
SHOWN = 20


def run(quick: bool) -> dict[str, typing.Any]:
    """Run the experiment and return its figures."""
    return asyncio.run(_run(quick))


async def _run(quick: bool) -> dict[str, typing.Any]:
    with tempfile.TemporaryDirectory() as folder:
        subject = stand.Stand(pathlib.Path(folder))
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            try:
                return await _measure(subject, session, quick)
            finally:
                await subject.stop()


async def _measure(
    subject: stand.Stand,
    session: aiohttp.ClientSession,
    quick: bool,
) -> dict[str, typing.Any]:
    balancer = callers.Balancer(session)
    subject.use(balancer)
    await subject.start()
    subject.watch_entries()
    rng = random.Random(SEED)
    made = callers.Callers(session, balancer)
    faults = schedule.Faults(subject)
    if quick:
        planned = callers.plan(QUICK_CALLS, QUICK_SECONDS, rng)
        breaking = faults.run_quick()
    else:
        planned = callers.plan(CALLS, SECONDS, rng)
        breaking = faults.run_all()
    loop = asyncio.get_running_loop()
    began = loop.time()
    await asyncio.gather(made.run(planned), breaking)
    took = loop.time() - began
    balancer.close()
    # What was handed over late may still start; it counts all the same.
    await asyncio.sleep(stand.AFTERMATH_SECONDS)
    return _report(subject, made, faults, took)


def _report(
    subject: stand.Stand,
    made: callers.Callers,
    faults: schedule.Faults,
    took: float,
) -> dict[str, typing.Any]:
    tries = [_explain(tried, subject.windows) for tried in made.tries]
    history = calls.History(tries, subject.starts(), subject.windows)
    violations = calls.check(history)
    endings = collections.Counter(made.endings.values())
    count = len(made.endings)
    uncertain = endings[load.Outcome.MAY_HAVE_RUN]
    for violation in violations[:SHOWN]:
        print(f'violation: {violation}')
        for tried in tries:
            if tried.call == violation.call:
                print(f'  {tried}')
    _print_endings(made, tries)
    return {
        'calls': count,
        'complete': endings[load.Outcome.COMPLETE],
        'refused_not_run': endings[load.Outcome.REFUSED],
        'may_have_run': uncertain,
        'may_have_run_share': round(uncertain / max(count, 1), 5),
        **calls.counts(violations),
        'tries': len(tries),
        'starts': len(history.starts),
        'faults': len(faults.induced),
        'seconds': round(took, 1),
    }


def _explain(
    tried: calls.Try,
    windows: list[calls.Window],
) -> calls.Try:
    """Take a caller's timeout for a break where a fault is its cause."""
    if tried.outcome is not None:
        return tried
    for window in windows:
        if window.planned:
            continue
        if window.begins <= tried.told_at and tried.asked_at <= window.ends:
            return attrs.evolve(tried, outcome=load.Outcome.BROKEN)
    return tried


def _print_endings(
    made: callers.Callers,
    tries: list[calls.Try],
) -> None:
    kinds = {tried.call: tried.kind.value for tried in tries}
    table = collections.Counter(
        (kinds.get(call, 'never sent'), ending.value)
        for call, ending in made.endings.items()
    )
    for (kind, ending), count in sorted(table.items()):
        print(f'{kind:16} {ending:18} {count}')
    told = collections.Counter(
        tried.outcome.value if tried.outcome else 'no answer' for tried in tries
    )
    print(f'tries: {dict(told)}')
