"""Have targets ask many entries for rest, for a limit and for no more calls.

Thirty entries send to a hundred targets, of which a third names a limit on the
calls a second from all entries together, a tenth asks for rest now and then and a
tenth leaves.  A third of the entries is cut off from the exchange of calls for a
while.  Counted are the calls beyond what each target bears, the part of the limits
that was used, and what callers got.  ``unheard`` takes nothing out of the answers.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import functools
import itertools
import random
import time
import types
import typing

import async_solipsism
import attrs

from tamarackthread.entry.direct import instances, outlier_detection, targets
from tamarackthread.policy import backpressure, cold_start, known_entries
from tamarackthread.shared.site import announcements

ENTRIES = 30
TARGETS = 100
SLOTS = 3
SERVICE_SECONDS = 0.2
CAPACITY = TARGETS * SLOTS / SERVICE_SECONDS
LOADS = types.MappingProxyType({'steady': 0.5, 'twice': 2.0})
SEEDS = (17, 18, 19)
SECONDS = 14.0
QUICK_SECONDS = 8.0
TICK = 0.025
EXCHANGE_TICKS = 3
# What targets ask for, and from when on, in seconds.
RATE = 4.0
ASKED_AT = 2.0
REST = 3.0
REST_EVERY = 4.0
REST_BEGINS = 0.5
# What they grant: the bounds that a target takes no harm from.
GRANTED_FACTOR = 1.5
GRANTED_MORE = 5
WINDOW = 4.0
HEARD = 0.5
LEAVING_GRANTED = 2.0
REST_GRANTED = 2
CUT_FROM, CUT_UNTIL = 5.0, 9.0


@attrs.define(eq=False)
class Target:
    """One target: its kind, what runs there, and what came when."""

    name: str
    kind: str
    ends: list[float] = attrs.field(factory=list)
    came: list[tuple[float, str]] = attrs.field(factory=list)
    told: dict[str, float] = attrs.field(factory=dict)
    rests: dict[str, float] = attrs.field(factory=dict)

    def take(
        self, entry: str, now: float
    ) -> tuple[bool, backpressure.Backpressure]:
        """Take a call or refuse it; tell what the answer asks for."""
        self.came.append((now, entry))
        self.ends = [end for end in self.ends if end > now]
        is_needy = now >= ASKED_AT
        begun = now % REST_EVERY < REST_BEGINS
        if self.kind == 'rest' and is_needy and begun:
            self.rests[entry] = now
            return False, backpressure.Backpressure(cooldown=REST)
        if is_needy and self.kind in {'limit', 'leave'}:
            self.told.setdefault(entry, now)
        asked = backpressure.Backpressure(
            is_leaving=is_needy and self.kind == 'leave',
            rate=RATE if is_needy and self.kind == 'limit' else None,
        )
        if len(self.ends) >= SLOTS:
            return False, asked
        self.ends.append(now + SERVICE_SECONDS)
        return True, asked


def kind_of(number: int) -> str:
    """Return what a target asks for."""
    if number % 3 == 0:
        return 'limit'
    if number % 10 == 1:
        return 'rest'
    return 'leave' if number % 10 == 7 else 'none'


class Play:
    """One run of all entries and targets."""

    def __init__(self, load: float, seed: int, *, is_heard: bool) -> None:
        """Build entries that know all targets and all entries."""
        self._random = random.Random(seed)
        self._load = load * CAPACITY
        self._is_heard = is_heard
        names = tuple(f'e{number}' for number in range(ENTRIES))
        self._targets = {
            f't{number}': Target(f't{number}', kind_of(number))
            for number in range(TARGETS)
        }
        self._entries = {
            name: self._entry(name, names, number)
            for number, name in enumerate(names)
        }
        self._under_way: list[tuple[float, str, instances.TargetInstance]] = []
        self.counts: collections.Counter[str] = collections.Counter()

    async def run(self, seconds: float) -> dict[str, typing.Any]:
        """Press for some time and sum up."""
        began = time.process_time()
        for tick in range(int(seconds / TICK)):
            self._end()
            if tick % EXCHANGE_TICKS == 0:
                self._exchange()
            for _ in range(self._arrivals()):
                self._call(self._random.choice(tuple(self._entries)))
            await asyncio.sleep(TICK)
        used = time.process_time() - began
        return self._summed(seconds, used)

    def _entry(
        self, name: str, names: tuple[str, ...], number: int
    ) -> targets.Targets:
        fleet = known_entries.KnownEntries(
            name, functools.partial(tuple, names)
        )
        known = targets.Targets(
            'z',
            1.0,
            random.Random(number),
            cold_start.ColdStartLimits(fleet),
            fleet,
        )
        for target in self._targets:
            known.take(
                announcements.Announcement(
                    target=target,
                    service='s',
                    address=target,
                    zone='z',
                    slots=SLOTS,
                )
            )
        return known

    def _arrivals(self) -> int:
        wanted = self._load * TICK
        return int(wanted + self._random.random())

    def _call(self, entry: str) -> None:
        now = asyncio.get_running_loop().time()
        self.counts['calls'] += 1
        tried: list[str] = []
        for _ in range(2):
            start = self._entries[entry].choose('s', tried)
            if start is None:
                break
            start.begin_call(now)
            is_taken, asked = self._targets[start.name].take(entry, now)
            if self._is_heard:
                start.apply_backpressure(asked, now, is_taken=is_taken)
            if is_taken:
                self.counts['answered'] += 1
                end = now + SERVICE_SECONDS
                self._under_way.append((end, entry, start))
                return
            start.own_calls -= 1
            start.outcomes.note(is_good=False, now=now)
            self.counts['refused by targets'] += 1
            tried.append(start.name)
        self.counts['refused'] += 1

    def _end(self) -> None:
        now = asyncio.get_running_loop().time()
        for end, _, start in self._under_way:
            if end <= now:
                start.own_calls -= 1
                start.outcomes.note(is_good=True, now=now)
        self._under_way = [row for row in self._under_way if row[0] > now]

    def _exchange(self) -> None:
        now = asyncio.get_running_loop().time()
        cut = set()
        if CUT_FROM <= now < CUT_UNTIL:
            cut = set(itertools.islice(self._entries, ENTRIES // 3))
        own = {
            name: entry.own_loads()
            for name, entry in self._entries.items()
            if name not in cut
        }
        sums = _sums(own.values())
        for name, entry in self._entries.items():
            if name in cut:
                entry.forget_others()
                continue
            others = {
                target: summed.minus(
                    own[name].get(target, outlier_detection.IDLE)
                )
                for target, summed in sums.items()
            }
            entry.set_other_loads(others, len(own))

    def _summed(self, seconds: float, used: float) -> dict[str, typing.Any]:
        limited = [one for one in self._targets.values() if one.kind == 'limit']
        allowed = RATE * (seconds - ASKED_AT - WINDOW) * len(limited)
        late = ASKED_AT + WINDOW
        got = sum(now >= late for one in limited for now, _ in one.came)
        return {
            'over_limit': sum(_over_limit(one) for one in limited),
            'over_rest': sum(map(_over_rest, self._targets.values())),
            'over_leaving': sum(map(_over_leaving, self._targets.values())),
            'limit_used': round(got / allowed, 3),
            'answered': round(
                self.counts['answered'] / self.counts['calls'], 3
            ),
            'refused_by_targets': self.counts['refused by targets'],
            'us_a_call': round(1e6 * used / self.counts['calls']),
        }


def _sums(
    told: collections.abc.Iterable[dict[str, outlier_detection.TargetLoad]],
) -> dict[str, outlier_detection.TargetLoad]:
    """Add the calls that some entries have and had, by target."""
    sums: dict[str, outlier_detection.TargetLoad] = {}
    for loads in told:
        for target, load in loads.items():
            held = sums.get(target, outlier_detection.IDLE)
            sums[target] = outlier_detection.TargetLoad(
                held.calls + load.calls, held.outcomes.plus(load.outcomes)
            )
    return sums


def _over_limit(target: Target) -> int:
    """Count the calls over what is granted in the worst window.

    Those of entries count that had passed the limit on half a second before.
    """
    bound = GRANTED_FACTOR * RATE * WINDOW + GRANTED_MORE
    bound_calls = [
        now
        for now, entry in target.came
        if now >= target.told.get(entry, now) + HEARD
    ]
    worst = max(
        (
            sum(first <= now < first + WINDOW for now in bound_calls)
            for first in bound_calls
        ),
        default=0,
    )
    return max(0, worst - int(bound))


def _over_rest(target: Target) -> int:
    """Count the calls over those granted within the last rests."""
    over = 0
    for entry, asked_at in target.rests.items():
        within = sum(
            asked_at + HEARD <= now < asked_at + REST
            for now, sender in target.came
            if sender == entry
        )
        over += max(0, within - REST_GRANTED)
    return over


def _over_leaving(target: Target) -> int:
    """Count the calls that came after the time granted for leaving."""
    if target.kind != 'leave':
        return 0
    return sum(
        now > target.told.get(entry, now) + LEAVING_GRANTED
        for now, entry in target.came
    )


def run(quick: bool) -> dict:
    """Run both loads with what targets ask for heard and unheard."""
    seeds = SEEDS[:1] if quick else SEEDS
    seconds = QUICK_SECONDS if quick else SECONDS
    found: dict[str, dict[str, list]] = {}
    for name, load in LOADS.items():
        for variant, is_heard in (('unheard', False), ('ours', True)):
            rows = [
                play(load, seed, seconds, is_heard=is_heard) for seed in seeds
            ]
            found.setdefault(name, {})[variant] = rows
            for row in rows:
                print(f'{name:7} {variant:8} {row}', flush=True)
    return {**found, 'seeds': seeds, 'seconds': seconds}


def play(
    load: float, seed: int, seconds: float, *, is_heard: bool
) -> dict[str, typing.Any]:
    """Play one load on a paused clock."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(_play(load, seed, seconds, is_heard=is_heard))


async def _play(
    load: float, seed: int, seconds: float, *, is_heard: bool
) -> dict[str, typing.Any]:
    return await Play(load, seed, is_heard=is_heard).run(seconds)
