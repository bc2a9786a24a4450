"""Time plans of the full size and what they cost the event loop."""

from __future__ import annotations

import asyncio
import time

import numpy

from tamarackthread.policy import expert_map, forecast, placement
from tamarackthread.shared import offload

SHAPE = expert_map.GroupShape(layers=58, experts=256, ranks=32, slots=10)


def time_plans(repeats: int) -> dict:
    """Time plans of the full size from a cold start, and the loop's waits.

    Each plan runs in a thread while a task on the loop wants to run each
    millisecond; the longest time that it could not is reported.
    """
    return asyncio.run(_time_in_threads(repeats))


async def _time_in_threads(repeats: int) -> dict:
    random = numpy.random.default_rng(5)
    size = (SHAPE.layers, SHAPE.experts)
    planner = placement.IncrementalPlanner(placement.EVEN)
    work = offload.ThreadOffload()
    taken = []
    gaps: list[float] = []
    ticker = asyncio.create_task(_tick(gaps))
    for _ in range(repeats):
        shares = random.dirichlet(numpy.ones(size[1]), size[0])
        outlook = forecast.LoadForecast(shares, 300)
        cold = expert_map.cold_start(SHAPE)
        started = time.perf_counter()
        await work.run(planner.plan, cold, outlook)
        taken.append(time.perf_counter() - started)
    ticker.cancel()
    return {
        'plan_ms_p99': round(float(numpy.quantile(taken, 0.99)) * 1000, 1),
        'plan_loop_held_ms_p99': round(
            float(numpy.quantile(gaps, 0.99)) * 1000,
            1,
        ),
        'plan_loop_held_ms_max': round(max(gaps) * 1000, 1),
    }


async def _tick(gaps: list[float]) -> None:
    while True:
        started = time.perf_counter()
        await asyncio.sleep(0.001)
        gaps.append(time.perf_counter() - started)
