"""Read what a process has used, from the kernel."""

from __future__ import annotations

import asyncio
import collections.abc
import os
import pathlib
import time

import attrs

PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
# Work that a request leaves behind, such as followers' commits, ends within.
SETTLE_SECONDS = 0.3
WINDOW_SECONDS = 2.0
QUICK_WINDOW_SECONDS = 1.0
_PROCESS_CLOCK = 2
_CLOCK_SHIFT = 3


def window_seconds(quick: bool) -> float:
    """Give how long a process is watched at each size."""
    return QUICK_WINDOW_SECONDS if quick else WINDOW_SECONDS


def cpu_seconds(pid: int) -> float:
    """Give the processor time of all threads of a process.

    It is what ``/proc/PID/stat`` counts, read from the process's own clock:
    the file counts in steps of 10 ms, which is the cost of many calls.
    """
    return time.clock_gettime((~pid << _CLOCK_SHIFT) | _PROCESS_CLOCK)


def resident_bytes(pid: int) -> int:
    """Give the memory that a process holds."""
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * PAGE_BYTES


def write_calls(pid: int) -> int:
    """Count the writes to files so far; sockets are not among them."""
    for line in pathlib.Path(f'/proc/{pid}/io').read_text().splitlines():
        if line.startswith('syscw:'):
            return int(line.partition(':')[2])
    return 0


@attrs.define
class Spent:
    """What a piece of work cost: processor seconds and file writes."""

    cpu: dict[str, float] = attrs.field(factory=dict)
    writes: dict[str, int] = attrs.field(factory=dict)
    seconds: float = 0


class Meter:
    """Measure work of several processes above what they use at rest."""

    def __init__(self, pids: collections.abc.Mapping[str, int]) -> None:
        """Watch these processes; at first nothing counts as rest."""
        self._pids = dict(pids)
        self.rest = dict.fromkeys(self._pids, float(0))

    async def take_rest(self, seconds: float) -> dict[str, float]:
        """Measure the processor seconds a second that rest takes."""
        self.rest = dict.fromkeys(self._pids, float(0))
        spent = await self.spent_by(asyncio.sleep(seconds))
        self.rest = {
            name: used / spent.seconds for name, used in spent.cpu.items()
        }
        return dict(self.rest)

    async def spent_by(self, work: collections.abc.Awaitable[object]) -> Spent:
        """Await the work and give what it took, less the rest."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        cpu = self._each(cpu_seconds)
        writes = self._each(write_calls)
        await work
        await asyncio.sleep(SETTLE_SECONDS)
        seconds = loop.time() - began_at
        after = self._each(cpu_seconds)
        written = self._each(write_calls)
        return Spent(
            cpu={
                name: after[name] - cpu[name] - self.rest[name] * seconds
                for name in cpu
            },
            writes={name: int(written[name] - writes[name]) for name in writes},
            seconds=seconds,
        )

    def _each(
        self,
        read: collections.abc.Callable[[int], float],
    ) -> dict[str, float]:
        return {name: read(pid) for name, pid in self._pids.items()}
