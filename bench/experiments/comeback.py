"""Let refused callers of a wave come back when they are told to.

The same wave is played twice: once they come back after the retry time of
their refusal, once after a fixed second, as many clients do by themselves.
"""

from __future__ import annotations

import asyncio
import collections
import random

import attrs

from bench.experiments import surge
from bench.surge import capacity, fleet, own, players, workload

SEEDS = (7001, 7002)
WAVE = workload.Wave(before=2, rise=1, hold=6, fall=2, after=25)
FIXED_SECONDS = 1.0
SPREAD_SECONDS = 0.1
WINDOW_SECONDS = 0.5


def run(quick: bool) -> dict:
    """Compare told and fixed retry times."""
    found = {}
    seeds = SEEDS[:1] if quick else SEEDS
    for name, fixed in (('told', None), ('fixed', FIXED_SECONDS)):
        rows = [play(seed, fixed) for seed in seeds]
        found[name] = {
            field: round(sum(row[field] for row in rows) / len(rows), 4)
            for field in rows[0]
        }
        print(name, found[name])
    return found


class ReturningCallers(own.Ours):
    """Send each refused call once more."""

    def __init__(
        self,
        own_fleet: fleet.Fleet,
        seed: int,
        fixed: float | None,
    ) -> None:
        """Wait ``fixed`` seconds, or as long as the refusal says."""
        super().__init__(own_fleet, seed)
        self._fixed = fixed
        self._random = random.Random(seed)
        self.seconds: list[players.Result] = []

    async def play(self, call: workload.Offered) -> None:
        """Send a call, and once more if it's refused."""
        await super().play(call)
        refused = self.results[-1]
        if refused.outcome != players.Outcome.REFUSED:
            return
        wait = refused.retry_after
        if self._fixed is not None:
            wait = self._fixed + SPREAD_SECONDS * self._random.random()
        await asyncio.sleep(wait)
        now = asyncio.get_running_loop().time()
        await super().play(attrs.evolve(call, at=now))
        self.seconds.append(self.results.pop())


def play(seed: int, fixed: float | None) -> dict[str, float]:
    """Play one wave and say how the second tries went."""
    saturation = capacity.Saturation(seed)
    surge.on_paused_time(saturation.run(WAVE.duration))
    rates = surge.mean_rates(saturation)
    offered = workload.draw(
        seed, WAVE, rates[workload.MODEL], rates[workload.PLAIN]
    )
    player = surge.on_paused_time(_callers(seed, fixed, offered))
    windows = collections.Counter(
        int(result.call.at / WINDOW_SECONDS) for result in player.seconds
    )
    busiest = max(windows.values()) / WINDOW_SECONDS
    first = _on_time(player.results)
    on_time = _on_time(player.seconds)
    return {
        'calls': len(offered),
        'first_try_on_time': first,
        'second_tries': len(player.seconds),
        'second_try_on_time_share': on_time / len(player.seconds),
        'answered_share': (first + on_time) / len(offered),
        'busiest_return_over_capacity': busiest / sum(rates.values()),
    }


def _on_time(results: list[players.Result]) -> int:
    return sum(result.outcome == players.Outcome.ON_TIME for result in results)


async def _callers(
    seed: int,
    fixed: float | None,
    offered: list[workload.Offered],
) -> ReturningCallers:
    player = ReturningCallers(fleet.Fleet(seed), seed, fixed)
    await surge.drive(player, offered)
    return player
