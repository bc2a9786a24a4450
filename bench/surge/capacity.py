"""Measure what the engines could do at best.

Every slot is filled the moment it is free, from an endless list of calls,
preferring calls whose prefix is cached.  No balancer with lagged reports can
do this, so it bounds all of them.
"""

from __future__ import annotations

import asyncio
import functools
import random

from bench.surge import engine, fleet, workload

WINDOW_SECONDS = 0.5
CHOICE = 64


class Saturation:
    """Keep one fleet full and count what it completes in each window."""

    def __init__(self, seed: int) -> None:
        """Draw the endless list from the seed."""
        self._random = random.Random(seed)
        self._fleet = fleet.Fleet(seed)
        self._pending: dict[str, list[workload.Offered]] = {
            service: [] for service in self._fleet.engines
        }
        self.completed: dict[str, dict[int, int]] = {
            service: {} for service in self._fleet.engines
        }

    async def run(self, duration: float) -> None:
        """Keep all engines full for ``duration`` seconds."""
        for service, replicas in self._fleet.engines.items():
            for replica in replicas:
                self._fill(service, replica)
        await asyncio.sleep(duration)

    def _fill(self, service: str, replica: engine.Engine) -> None:
        while replica.free > 0:
            call = self._pick(service, replica)
            replica.submit(
                engine.Job(
                    priority=1,
                    prompt_tokens=call.prompt_tokens,
                    answer_tokens=call.answer_tokens,
                    prefixes=call.prefixes,
                    on_first=_ignore,
                    on_end=functools.partial(self._ended, service, replica),
                ),
            )

    def _pick(
        self,
        service: str,
        replica: engine.Engine,
    ) -> workload.Offered:
        pending = self._pending[service]
        while len(pending) < CHOICE:
            pending.append(workload.draw_call(self._random, service, 0))
        if not isinstance(replica, engine.ModelEngine):
            return pending.pop()
        for place, call in enumerate(pending):
            if replica.holds(call.prefixes):
                return pending.pop(place)
        return pending.pop(0)

    def _ended(self, service: str, replica: engine.Engine) -> None:
        loop = asyncio.get_running_loop()
        window = int(loop.time() / WINDOW_SECONDS)
        counts = self.completed[service]
        counts[window] = counts.get(window, 0) + 1
        loop.call_soon(self._fill, service, replica)


def allowed(
    arrivals: dict[int, int],
    capacity: dict[int, int],
) -> float:
    """Count the calls that the capacity allows, window by window.

    What a window can't take may still be served in the next one, but not
    later: its first token would miss the goal.
    """
    total = 0
    carry = 0
    for window in range(max(arrivals) + 2):
        fresh = arrivals.get(window, 0)
        taken = min(fresh + carry, capacity.get(window, 0))
        total += taken
        carry = min(fresh, fresh + carry - taken)
    return total


def _ignore() -> None:
    """Do nothing at the first token."""
