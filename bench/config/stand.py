"""Start control hosts and subscribers behind a network with delays."""

from __future__ import annotations

import asyncio
import collections.abc
import json
import os
import pathlib
import signal

from bench import cluster
from bench.config import network, operators
from tamarackthread.generated.messages import ttypes as messages

ZONES = 3
AT_ONCE = 8
READY_SECONDS = 40.0
POLL_SECONDS = 0.05
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


class NotReady(Exception):
    """Nodes did not all take up the configuration in time."""


class Stand:
    """Hold the processes of one run."""

    def __init__(
        self,
        folder: pathlib.Path,
        nodes: int,
        between_zones_seconds: float,
    ) -> None:
        """Keep logs and data under ``folder``."""
        self.cluster = cluster.Cluster(folder, ZONES, network.RELAY_HOST)
        self.network = network.Network(between_zones_seconds)
        self.nodes = nodes
        self._folder = folder

    @property
    def logs(self) -> list[pathlib.Path]:
        """List the subscribers' logs."""
        return sorted(self._folder.glob('subscriber-*.jsonl'))

    async def start(self, voters: int) -> operators.Operator:
        """Start everything and wait until all nodes may take work."""
        await self.cluster.start_controls(voters, claim_shards=1)
        for number, node in enumerate(self.cluster.controls):
            zone = f'zone-{number % ZONES}'
            await self.network.open(node, zone, self._port(node))
        await self.start_subscribers(range(self.nodes))
        operator = self.operator('operator-status')
        await self.wait_ready(operator)
        return operator

    def operator(self, name: str) -> operators.Operator:
        """Make an operator."""
        key = self.cluster.key_file.read_bytes().strip()
        return operators.Operator(name, key, self.cluster.control_addresses)

    async def start_subscribers(
        self,
        places: collections.abc.Iterable[int],
    ) -> None:
        """Start subscribers, each in a process, so that each can be timed."""
        room = asyncio.Semaphore(AT_ONCE)
        await asyncio.gather(
            *(self._start_subscriber(place, room) for place in places),
        )

    async def _start_subscriber(
        self,
        place: int,
        room: asyncio.Semaphore,
    ) -> None:
        name = f'subscriber-{place}'
        async with room:
            started = await self._start_process(name, place)
        self.cluster.processes[name] = started
        for node, port in started.addresses.items():
            zone = f'zone-{place % ZONES}'
            await self.network.open(node, zone, int(port))

    async def _start_process(
        self,
        name: str,
        place: int,
    ) -> cluster.Process:
        return await cluster.start(
            name,
            [
                'bench.config.subscribers',
                '--place',
                str(place),
                '--zones',
                str(ZONES),
                '--key',
                str(self.cluster.key_file),
                '--log',
                str(self._folder / f'{name}.jsonl'),
                *self.cluster.control_addresses,
            ],
            self._folder,
        )

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        process = self.cluster.processes[name]
        process.send(signal.SIGKILL)
        await process.wait()

    async def kill_subscriber(self, place: int) -> None:
        """Kill a subscriber and log in its place that it works no more."""
        name = f'subscriber-{place}'
        await self.kill(name)
        now = asyncio.get_running_loop().time()
        with (self._folder / f'{name}.jsonl').open('a') as log:
            print(json.dumps([f'node-{place}', now, -1, False]), file=log)

    async def wait_ready(self, operator: operators.Operator) -> None:
        """Wait until every node confirmed the newest revision."""
        loop = asyncio.get_running_loop()
        until = loop.time() + READY_SECONDS
        while loop.time() < until:
            found = await status(operator)
            if found is not None and found.in_force >= self.nodes:
                return
            await asyncio.sleep(POLL_SECONDS)
        raise NotReady(f'{found}')

    def cpu_seconds(self, prefix: str) -> dict[str, float]:
        """Give the processor time of the processes with a name prefix."""
        return {
            name: _cpu_seconds(process.pid)
            for name, process in self.cluster.processes.items()
            if name.startswith(prefix) and process.is_running
        }

    def memory_mb(self, prefix: str) -> float:
        """Give the memory of the largest process with a name prefix."""
        return max(
            _memory_mb(process.pid)
            for name, process in self.cluster.processes.items()
            if name.startswith(prefix) and process.is_running
        )

    async def stop(self) -> None:
        """Stop everything."""
        await self.cluster.stop()
        self.network.close()

    def _port(self, node: str) -> int:
        return int(self.cluster.controls[node].rpartition(':')[2])


async def status(
    operator: operators.Operator,
    revision: int = 0,
) -> messages.StatusReply | None:
    """Ask how far a revision has come, 0 for the newest."""
    asked = messages.StatusRequest(revision=revision)
    reply = await operator.ask(messages.Request(status=asked))
    return None if reply is None else reply.status


def _cpu_seconds(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_SECOND


def _memory_mb(pid: int) -> float:
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return round(pages * os.sysconf('SC_PAGE_SIZE') / 2**20, 1)
