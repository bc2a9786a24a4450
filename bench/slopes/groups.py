"""Measure what a replicated group takes of its hosts at rest."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile

from bench import cluster
from bench.slopes import fit, process

MICRO = 1e6
MEBI = 1024 * 1024
VOTERS = 3
FORMED_SECONDS = 4.0


async def measure(quick: bool) -> list[fit.Slope]:
    """Start clusters with more and more shards and let them rest."""
    sizes = (1, 4, 8) if quick else (1, 8, 16, 32)
    points: list[fit.Point] = []
    resident: list[fit.Point] = []
    # All at once: the time of a process is its own, whatever else runs.
    await asyncio.gather(
        *(_cluster(size, quick, points, resident) for size in sizes),
    )
    return [
        fit.fit('group_rest_cpu', 'us/s a group and host', points, MICRO),
        fit.fit('group_memory', 'MiB a group and host', resident, 1 / MEBI),
    ]


async def _cluster(
    shards: int,
    quick: bool,
    points: list[fit.Point],
    resident: list[fit.Point],
) -> None:
    with tempfile.TemporaryDirectory() as folder:
        running = cluster.Cluster(pathlib.Path(folder))
        try:
            await running.start_controls(VOTERS, claim_shards=shards)
            await asyncio.sleep(FORMED_SECONDS)
            for _ in range(1 if quick else 2):
                rest = await _rest(running, quick)
                points.append((float(shards), rest))
            resident.append((float(shards), _resident(running)))
        finally:
            await running.stop()


async def _rest(running: cluster.Cluster, quick: bool) -> float:
    pids = {name: held.pid for name, held in running.processes.items()}
    meter = process.Meter(pids)
    rest = await meter.take_rest(process.window_seconds(quick))
    return sum(rest.values()) / len(rest)


def _resident(running: cluster.Cluster) -> float:
    held = [
        process.resident_bytes(started.pid)
        for started in running.processes.values()
    ]
    return sum(held) / len(held)
