"""Run a small group of the replicated log on paused time, for tests."""

from __future__ import annotations

import asyncio
import collections.abc
import json
import logging
import random
import typing
import unittest
import warnings

import async_solipsism

from bench.history import disks, network
from tamarackthread.control import consensus, state_machine, timing

GROUP = 'config'
NODES = ('h1', 'h2', 'h3')
PATIENCE_SECONDS = 30


class Rows(state_machine.StateMachine):
    """Keep every command; the result is how many there are."""

    def __init__(self) -> None:
        """Begin empty."""
        self.rows: list[str] = []

    def apply(self, index: int, command: bytes) -> bytes:
        """Add one row."""
        self.rows.append(command.decode())
        return str(len(self.rows)).encode()

    def snapshot(self) -> bytes:
        """Return all rows."""
        return json.dumps(self.rows).encode()

    def restore(self, data: bytes) -> None:
        """Take all rows."""
        self.rows = json.loads(data) if data else []


class Net:
    """Be some hosts of one group."""

    def __init__(
        self,
        machine_of: collections.abc.Callable[
            [], state_machine.StateMachine
        ] = Rows,
        **times: float,
    ) -> None:
        """Use a timing that differs by ``times``."""
        self._machine_of = machine_of
        self.rng = random.Random(7)
        self.network = network.Network(self.rng)
        self.platters: dict[str, disks.Platter] = {}
        self.processes: dict[str, consensus.Consensus] = {}
        self.machines: dict[str, typing.Any] = {}
        self._times = timing.Timing(**times)

    async def start(self, *nodes: str, named: bool = True) -> None:
        """Start hosts, known to each other by their settings or not."""
        for node in nodes:
            platter = self.platters.setdefault(node, disks.Platter(self.rng))
            self.machines[node] = self._machine_of()
            process = consensus.Consensus(
                group=GROUP,
                node=node,
                machine=self.machines[node],
                disk=platter.mount(),
                transport=self.network.transport(node),
                members={name: name for name in NODES} if named else {},
                timing=self._times,
                rng=self.rng,
            )
            self.processes[node] = process
            await process.start()
            self.network.handlers[node] = process.handle

    def kill(self, *nodes: str) -> None:
        """Crash hosts, losing what their disks had not synced."""
        for node in nodes:
            self.network.handlers.pop(node, None)
            self.processes.pop(node).abort()
            self.platters[node].crash()

    def isolate(self, node: str) -> None:
        """Cut a host off in both directions."""
        for other in self.processes:
            if other != node:
                self.network.cut(node, other)
                self.network.cut(other, node)

    def state(self, node: str):
        """Return a host's inner state."""
        return self.processes[node]._state

    async def until(self, holds: collections.abc.Callable[[], object]):
        """Wait until something holds and return it."""
        async with asyncio.timeout(PATIENCE_SECONDS):
            while not holds():
                await asyncio.sleep(0.02)
        return holds()

    async def leader(self, *but: str) -> str:
        """Wait for a leader with a lease, other than some, and return it."""
        return await self.until(lambda: self._sure(but))

    async def fill(self, node: str, count: int, text: str = 'row') -> None:
        """Propose rows, some at a time."""
        for start in range(0, count, 200):
            await asyncio.gather(
                *(
                    self.processes[node].propose(f'{text}{number}'.encode())
                    for number in range(start, min(count, start + 200))
                )
            )

    def _sure(self, but: tuple[str, ...]) -> str:
        for node, process in self.processes.items():
            if node not in but and process.has_lease():
                return node
        return ''


class PausedCase(unittest.TestCase):
    """Run each test's coroutine on a loop whose time is paused."""

    def setUp(self) -> None:
        """Keep expected warnings out of the output."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def run_paused(self, work: collections.abc.Awaitable[None]) -> None:
        """Run until done, then cancel what is left."""
        loop = async_solipsism.EventLoop()
        self.addCleanup(loop.close)
        with warnings.catch_warnings():
            warnings.simplefilter('ignore')
            try:
                loop.run_until_complete(work)
            finally:
                _end_tasks(loop)


def _end_tasks(loop: asyncio.AbstractEventLoop) -> None:
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    if left:
        ending = asyncio.gather(*left, return_exceptions=True)
        loop.run_until_complete(ending)
