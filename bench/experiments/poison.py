"""Have calls crash targets by a part of their prompts, which is new each time.

Six entries, two control hosts that exchange what they know, and twelve targets, alone
or in one group in lockstep, on virtual time.  ``calls_only`` blames only a call that
comes again; ``ours`` blames parts as well.  Counted are targets that crashed, calls
with the part that reached targets later than three seconds after its fifth crash, and
of the sound calls, from six seconds after that crash on, those that were begun and
those that were refused as the cause.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing
from unittest import mock

import async_solipsism
import attrs

from bench.poison import site as model
from tamarackthread.entry.direct import call_marks

BAD = 'bad'
MAX_CRASHES = 5
LATE_SECONDS = 3.0
SERVED_SECONDS = 6.0
FIRST_SECONDS = 5.0
SECONDS = 40.0
SOUND_A_TICK = 2
TOPICS = 8
SEEDS = range(101, 111)
QUICK_SEEDS = range(101, 103)
VARIANTS = ('calls_only', 'ours')


@attrs.frozen
class Pattern:
    """Where the part stands, and how often a call has it, in seconds."""

    name: str
    parts: tuple[str, ...]
    gap: float
    is_group: bool = False


PATTERNS = (
    Pattern('first, often', (BAD, 'topic'), 0.1),
    Pattern('middle, seldom', ('shared', BAD, 'topic'), 2.5),
    Pattern('behind shared, often', ('shared', BAD), 0.1),
    Pattern('lockstep, often', ('shared', BAD, 'topic'), 0.1, is_group=True),
    Pattern('lockstep, seldom', ('shared', BAD), 2.5, is_group=True),
)


@attrs.define
class Counts:
    """What became of the calls of some seeds."""

    crashes: int = 0
    late: int = 0
    sound: int = 0
    begun: int = 0
    blamed: int = 0

    def add(self, site: model.Site) -> None:
        """Count the calls of one more seed."""
        self.crashes += len(site.crashes)
        if not site.crashes:
            return
        fifth = site.late_from(BAD, MAX_CRASHES)
        self.late += sum(one.at > fifth + LATE_SECONDS for one in site.arrivals)
        for call in site.sound:
            if call.at <= fifth + SERVED_SECONDS:
                continue
            self.sound += 1
            self.begun += call.has_begun
            self.blamed += call.was_blamed

    def row(self, seeds: int) -> dict[str, float]:
        """Return the counts of a seed, and the shares of sound calls."""
        return {
            'crashes': self.crashes / seeds,
            'late': self.late / seeds,
            'begun_share': round(self.begun / max(1, self.sound), 3),
            'blamed_share': round(self.blamed / max(1, self.sound), 3),
        }


def run(quick: bool) -> dict[str, typing.Any]:
    """Play all patterns with both variants."""
    seeds = QUICK_SEEDS if quick else SEEDS
    found: dict[str, typing.Any] = {}
    for pattern in PATTERNS:
        for variant in VARIANTS:
            counts = Counts()
            for seed in seeds:
                counts.add(play(pattern, variant, seed))
            row = counts.row(len(seeds))
            found[f'{pattern.name}: {variant}'] = row
            print(f'{pattern.name:22} {variant:10} {row}')
    return {'patterns': found, 'seeds': len(seeds)}


def play(pattern: Pattern, variant: str, seed: int) -> model.Site:
    """Play one seed on virtual time."""
    with contextlib.ExitStack() as stack:
        if variant == 'calls_only':
            stack.enter_context(
                mock.patch.object(call_marks, 'of_parts', lambda call: [])
            )
        runner = stack.enter_context(
            asyncio.Runner(loop_factory=async_solipsism.EventLoop)
        )
        return runner.run(_play(pattern, seed))


async def _play(pattern: Pattern, seed: int) -> model.Site:
    site = model.Site(random.Random(seed), pattern.is_group)
    site.open()
    sound = [part for part in pattern.parts if part != BAD]
    next_bad = FIRST_SECONDS
    now: float = 0
    while now < SECONDS:
        await site.tick()
        now = asyncio.get_running_loop().time()
        for _ in range(SOUND_A_TICK):
            site.send(_with_topic(site, sound))
        if now >= next_bad:
            next_bad = now + site.rng.expovariate(1 / pattern.gap)
            site.send(_with_topic(site, pattern.parts), BAD)
    return site


def _with_topic(site: model.Site, parts: typing.Iterable[str]) -> list[str]:
    topic = f'topic{site.rng.randrange(TOPICS)}'
    return [topic if part == 'topic' else part for part in parts]
