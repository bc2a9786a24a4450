"""Show the system at work: three control, two entry and three agent processes.

Mixed streams and orders run while a profile is changed and one process of each
role is killed.  The demo fails if a call is lost or an order is doubled.
"""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import sys
import tempfile
import typing

import aiohttp

from bench import load, operator
from bench.checks import calls
from bench.faults import callers, schedule, stand

CALLS = 400
SECONDS = 14.0
SEED = 7
SETTLE_SECONDS = 1.0
SITES = (stand.drafting(0), stand.ordering(0), stand.ordering(1))


def run(quick: bool) -> dict[str, typing.Any]:
    """Run the demo; exit with 1 if a call is lost or an order doubled."""
    outcome = asyncio.run(_run(quick))
    if outcome['lost'] or outcome['doubled']:
        print(outcome)
        sys.exit(1)
    return outcome


async def _run(quick: bool) -> dict[str, typing.Any]:
    with tempfile.TemporaryDirectory() as folder:
        subject = stand.Stand(pathlib.Path(folder), SITES)
        async with aiohttp.ClientSession() as session:
            try:
                return await _show(subject, session, quick)
            finally:
                await subject.stop()


async def _show(
    subject: stand.Stand,
    session: aiohttp.ClientSession,
    quick: bool,
) -> dict[str, typing.Any]:
    balancer = callers.Balancer(session)
    subject.use(balancer)
    print('starting 3 control, 2 entry and 3 agent processes')
    await subject.start()
    subject.watch_entries()
    made = callers.Callers(session, balancer)
    count = CALLS // 4 if quick else CALLS
    planned = callers.plan(count, SECONDS, random.Random(SEED))
    print(f'sending {count} mixed calls over {SECONDS:.0f} s')
    told = await asyncio.gather(
        made.run(planned),
        _trouble(subject),
    )
    balancer.close()
    await asyncio.sleep(SETTLE_SECONDS)
    return _table(subject, made, told[1])


async def _trouble(subject: stand.Stand) -> float:
    """Change the profile and kill one process of each role."""
    in_force_ms = await _change_profile(subject)
    print(f'profile changed, in force everywhere after {in_force_ms:.0f} ms')
    breaking = schedule.Faults(subject)
    await breaking.kill('order-1')
    await breaking.kill('entry-1')
    await breaking.kill(await subject.leader())
    return in_force_ms


async def _change_profile(subject: stand.Stand) -> float:
    loop = asyncio.get_running_loop()
    acting = operator.Operator(subject.running)
    body = {
        'claims': {'wait_seconds': 4},
        'admission': {'first_token_seconds': 0.4},
    }
    try:
        began = loop.time()
        reply = await acting.put('profile', 'standard', body, based_on=1)
        await acting.wait_in_force(reply.revision)
        return (loop.time() - began) * 1000
    finally:
        acting.close()


def _table(
    subject: stand.Stand,
    made: callers.Callers,
    in_force_ms: float,
) -> dict[str, typing.Any]:
    history = calls.History(made.tries, subject.starts(), subject.windows)
    broken = calls.counts(calls.check(history))
    endings = collections.Counter(made.endings.values())
    outcome = {
        'asked': len(made.endings),
        'complete': endings[load.Outcome.COMPLETE],
        'refused_not_run': endings[load.Outcome.REFUSED],
        'may_have_run': endings[load.Outcome.MAY_HAVE_RUN],
        'lost': broken['lost'],
        'doubled': broken['doubled'],
        'time_to_in_force_ms': round(in_force_ms),
    }
    print()
    for name, value in outcome.items():
        print(f'  {name.replace("_", " "):24} {value:>8}')
    print()
    return outcome
