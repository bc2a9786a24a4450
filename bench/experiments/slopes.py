"""Measure what each unit of the system's work costs.

Each slope is fitted through three sizes or more.  Costs are processor time of
real processes above what they use at rest, counts, and bytes: the machine is
shared, so time that passed would say little.  ``--write`` of
``python -m bench.slopes.page`` turns the figures into docs/CAPACITY.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import importlib.metadata
import os
import pathlib
import platform
import resource
import subprocess
import sys
import tempfile
import typing

from bench.slopes import (
    calls,
    control,
    fit,
    following,
    groups,
    leasing,
    links,
    memory,
    planning,
    process,
    stand,
    wire_sizes,
)

LIBRARIES = ('aiohttp', 'attrs', 'numpy', 'scipy', 'thrift')
MEBI = 1024 * 1024
SAMPLE_SECONDS = 0.01
PLACES = 4
LIMIT_SECONDS = 360.0


def run(quick: bool) -> dict[str, typing.Any]:
    """Measure all slopes and return them by name."""
    slopes = [*wire_sizes.run(), *memory.run(quick), *planning.run(quick)]
    slopes.append(leasing.portions_by_entries(quick))
    for found in slopes:
        fit.show(found)
    slopes += asyncio.run(_measure_apart(quick))
    measured, levels = asyncio.run(_measure(quick))
    slopes += measured
    return {
        'slopes': {slope.name: slope.as_json() for slope in slopes},
        'levels': levels,
        'versions': _versions(),
        'machine': {'cores': os.cpu_count(), 'load': os.getloadavg()[0]},
        'commit': _commit(),
        'quick': quick,
    }


async def _measure_apart(quick: bool) -> list[fit.Slope]:
    async with asyncio.timeout(LIMIT_SECONDS):
        slopes = [
            *await following.measure(quick),
            *await groups.measure(quick),
        ]
    for found in slopes:
        fit.show(found)
    return slopes


async def _measure(
    quick: bool,
) -> tuple[list[fit.Slope], dict[str, float]]:
    with tempfile.TemporaryDirectory() as folder:
        subject = stand.Stand(pathlib.Path(folder))
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                await subject.start()
                levels = await _levels(subject)
                return await _all(subject, quick), levels
        finally:
            await subject.stop()


async def _all(subject: stand.Stand, quick: bool) -> list[fit.Slope]:
    slopes: list[fit.Slope] = []
    # Memory first: what a process has once taken it seldom gives back.
    parts = (
        calls.Tokens(subject, quick).run(),
        calls.measure_connections(subject, quick),
        links.measure_agent(subject, quick),
        links.measure_dials(subject, quick),
        calls.Calls(subject, quick).run(),
        control.Claims(subject, quick).run(),
        leasing.measure_leases(subject, quick),
        control.Changes(subject, quick).run(),
        control.measure_announcements(subject, quick),
        links.EntryLinks(subject, quick).run(),
    )
    for part in parts:
        for found in await part:
            fit.show(found)
            slopes.append(found)
    return slopes


async def _levels(subject: stand.Stand) -> dict[str, float]:
    """Measure what each role uses at rest, with next to nothing known."""
    meter = process.Meter(subject.pids)
    rest = await meter.take_rest(process.WINDOW_SECONDS)
    levels = {}
    for name, pid in subject.pids.items():
        role = name
        if name in subject.cluster.controls:
            role = 'leader' if name == subject.leader else 'follower'
        levels[f'{role}_rest_cpu_share'] = round(rest[name], PLACES)
        resident = process.resident_bytes(pid) / MEBI
        levels[f'{role}_rest_memory_mib'] = round(resident, 1)
    levels.update(await _operator(subject))
    for name, level in levels.items():
        print(f'{name:34} {level}')
    return levels


async def _operator(subject: stand.Stand) -> dict[str, float]:
    """Measure a short command, from its start to its end."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    command = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tamarackthread',
        'status',
        '--control',
        subject.cluster.controls[subject.leader],
        '--key-file',
        str(subject.cluster.key_file),
        stdout=asyncio.subprocess.DEVNULL,
    )
    # The kernel's own peak would count what this process held at the fork.
    resident = 0
    while command.returncode is None:
        with contextlib.suppress(OSError):
            found = process.resident_bytes(command.pid)
            resident = max(resident, found)
        await asyncio.sleep(SAMPLE_SECONDS)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    spent = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return {
        'operator_cpu_seconds': round(spent, PLACES),
        'operator_memory_mib': round(resident / MEBI, 1),
    }


def _versions() -> dict[str, str]:
    versions = {name: importlib.metadata.version(name) for name in LIBRARIES}
    versions['python'] = platform.python_version()
    return versions


def _commit() -> str:
    described = subprocess.run(
        ['git', 'describe', '--always', '--dirty'],
        capture_output=True,
        check=False,
        text=True,
    )
    return described.stdout.strip()
