"""Run a small group of the replicated log on simulated time, for tests."""

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
WAIT_TIMEOUT_SECONDS = 30


class Rows(state_machine.StateMachine):
    """Store every command; the result is the number of commands."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: list[str] = []

    def apply(self, index: int, command: bytes) -> bytes:
        """Append one row."""
        self.rows.append(command.decode())
        return str(len(self.rows)).encode()

    def snapshot(self) -> bytes:
        """Return all rows."""
        return json.dumps(self.rows).encode()

    def restore(self, data: bytes) -> None:
        """Replace all rows."""
        self.rows = json.loads(data) if data else []


class Net:
    """Simulate the hosts of one group."""

    def __init__(
        self,
        machine_of: collections.abc.Callable[
            [], state_machine.StateMachine
        ] = Rows,
        **times: float,
    ) -> None:
        """Override fields of the timing by ``times``."""
        self._machine_of = machine_of
        self.rng = random.Random(7)
        self.network = network.Network(self.rng)
        self.platters: dict[str, disks.Platter] = {}
        self.processes: dict[str, consensus.Consensus] = {}
        self.machines: dict[str, typing.Any] = {}
        self._times = timing.Timing(**times)

    async def start(self, *nodes: str, configured: bool = True) -> None:
        """Start hosts, with or without each other in their settings."""
        for node in nodes:
            self.machines[node] = self._machine_of()
            process = consensus.Consensus(
                group=GROUP,
                node=node,
                machine=self.machines[node],
                disk=self.disk(node),
                transport=self.network.transport(node),
                members={name: name for name in NODES} if configured else {},
                timing=self._times,
                rng=self.rng,
            )
            self.processes[node] = process
            await process.start()
            self.network.handlers[node] = process.handle

    def disk(self, node: str) -> disks.Mount:
        """Return a host's disk as its next process sees it."""
        platter = self.platters.setdefault(node, disks.Platter(self.rng))
        return platter.mount()

    def kill(self, *nodes: str) -> None:
        """Crash hosts; data that was not synced is lost."""
        for node in nodes:
            self.network.handlers.pop(node, None)
            self.processes.pop(node).abort()
            self.platters[node].crash()

    def isolate(self, node: str) -> None:
        """Partition a host from all others, in both directions."""
        for other in self.processes:
            if other != node:
                self.network.cut(node, other)
                self.network.cut(other, node)

    def state(self, node: str):
        """Return a host's internal state."""
        return self.processes[node]._state

    async def until(self, condition: collections.abc.Callable[[], object]):
        """Wait until a condition holds and return its value."""
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.02)
        return condition()

    async def leader(self, *excluded: str) -> str:
        """Wait for a leader with a lease, not among ``excluded``."""
        return await self.until(lambda: self._lease_holder(excluded))

    async def fill(self, node: str, count: int, text: str = 'row') -> None:
        """Propose rows, in batches."""
        for start in range(0, count, 200):
            await asyncio.gather(
                *(
                    self.processes[node].propose(f'{text}{number}'.encode())
                    for number in range(start, min(count, start + 200))
                )
            )

    def _lease_holder(self, excluded: tuple[str, ...]) -> str:
        for node, process in self.processes.items():
            if node not in excluded and process.has_lease():
                return node
        return ''


class PausedCase(unittest.TestCase):
    """Run each test's coroutine on a loop with simulated time."""

    def setUp(self) -> None:
        """Suppress expected log lines."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def run_paused(self, coroutine: collections.abc.Awaitable[None]) -> None:
        """Run a coroutine to its end, then cancel remaining tasks."""
        loop = self.new_loop()
        self.addCleanup(loop.close)
        with warnings.catch_warnings():
            warnings.simplefilter('ignore')
            try:
                loop.run_until_complete(coroutine)
            finally:
                self.cancel_tasks(loop)

    def new_loop(self) -> async_solipsism.EventLoop:
        """Return a loop with simulated time."""
        return async_solipsism.EventLoop()

    def cancel_tasks(self, loop: async_solipsism.EventLoop) -> None:
        """Cancel the tasks that a test has left, and wait for their end."""
        remaining = asyncio.all_tasks(loop)
        for task in remaining:
            task.cancel()
        if remaining:
            ending = asyncio.gather(*remaining, return_exceptions=True)
            loop.run_until_complete(ending)
