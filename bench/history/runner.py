"""Run one seeded history on paused time and check it."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import logging
import random
import warnings

import async_solipsism
import attrs

from bench.history import callers, checker, events, hosts, trouble

_CALLERS = 4
_TROUBLE_SECONDS = 30.0


@attrs.frozen
class Verdict:
    """One run's history and what is wrong with it."""

    history: events.History
    violations: list[str]


def run_seed(seed: int, voters: int = 0) -> Verdict:
    """Run the history of a seed; the same seed gives the same verdict.

    Without ``voters`` the seed chooses 3 or 5.
    """
    loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(loop)
    with _silence():
        history = loop.run_until_complete(_run(seed, voters))
        _drain(loop)
    asyncio.set_event_loop(None)
    loop.close()
    return Verdict(history=history, violations=checker.check(history))


@contextlib.contextmanager
def _silence() -> collections.abc.Iterator[None]:
    """Keep thousands of expected warnings out of the output."""
    before = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        with warnings.catch_warnings():
            warnings.simplefilter('ignore')
            yield
    finally:
        logging.disable(before)


async def _run(seed: int, voters: int) -> events.History:
    rng = random.Random(seed)
    history = events.History(seed=seed)
    group = hosts.Hosts(history, rng, voters or rng.choice((3, 3, 5)))
    for host in list(group.all.values()):
        await group.start(host)
    work = [asyncio.create_task(group.watch_leases())]
    for number in range(1, _CALLERS + 1):
        caller = callers.Caller(number, group, seed)
        work.append(asyncio.create_task(caller.work()))
    await asyncio.sleep(3)
    breaking = asyncio.create_task(trouble.Trouble(group, rng).run())
    await asyncio.sleep(_TROUBLE_SECONDS)
    breaking.cancel()
    await asyncio.sleep(0.5)
    for task in work:
        _check_running(task, history)
        task.cancel()
    _check_running(breaking, history)
    await group.settle()
    for host in group.running:
        group.note_halt(host.node, host.process)
        host.process.abort()
    return history


def _check_running(task: asyncio.Task[None], history: events.History) -> None:
    """Take a crash of the bench itself for a violation, not for silence."""
    if task.done() and not task.cancelled():
        history.halts.append(f'bench: {task.exception()!r}')


def _drain(loop: asyncio.AbstractEventLoop) -> None:
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
