"""Pass calls between named nodes with delays, losses, cuts and stalls."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import typing

import attrs

from tamarackthread.shared import errors

_WAKE_SECONDS = 0.002


@attrs.frozen
class NetworkSettings:
    """Hold the constants; a late message comes after up to ``late_seconds``."""

    delay_seconds: float = 0.0015
    late_share: float = 0
    late_seconds: float = 1.5
    lost_share: float = 0


class Network:
    """Carry calls; a cut is silent, as of a partition."""

    def __init__(self, rng: random.Random, settings: NetworkSettings) -> None:
        """Start with every node reachable."""
        self._random = rng
        self.settings = settings
        self._cuts: set[tuple[str, str]] = set()
        self._stalled: dict[str, float] = {}
        self._late: dict[tuple[str, str], float] = {}
        self._deliveries: set[asyncio.Task[typing.Any]] = set()

    def cut(self, node: str, others: collections.abc.Iterable[str]) -> None:
        """Drop everything between a node and others, both ways."""
        for other in others:
            self._cuts.update(((node, other), (other, node)))

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def delay_next(self, source: str, target: str, seconds: float) -> None:
        """Have the next message between two nodes come that much later."""
        self._late[(source, target)] = seconds

    def stall(self, node: str, seconds: float) -> None:
        """Have a node's process stand still; messages to it wait."""
        self._stalled[node] = asyncio.get_running_loop().time() + seconds

    async def call(
        self,
        source: str,
        target: str,
        work: collections.abc.Callable[[], collections.abc.Awaitable],
        timeout_seconds: float,
    ) -> typing.Any:
        """Call ``work`` at the target; it may run after the timeout."""
        delivery = asyncio.create_task(self._deliver(source, target, work))
        self._deliveries.add(delivery)
        delivery.add_done_callback(self._settle)
        done, _ = await asyncio.wait((delivery,), timeout=timeout_seconds)
        if not done:
            raise errors.RequestTimeout(f'{source} to {target}')
        return delivery.result()

    def _settle(self, delivery: asyncio.Task[typing.Any]) -> None:
        self._deliveries.discard(delivery)
        if not delivery.cancelled():
            # Taken here too: nobody waits any more after a timeout.
            delivery.exception()

    async def _deliver(
        self,
        source: str,
        target: str,
        work: collections.abc.Callable[[], collections.abc.Awaitable],
    ) -> typing.Any:
        await self._travel(source, target)
        result = await work()
        await self._travel(target, source)
        return result

    async def _travel(self, source: str, target: str) -> None:
        await self._awake(source)
        if self._random.random() < self.settings.lost_share:
            await asyncio.Event().wait()
        delay = self.settings.delay_seconds * self._random.uniform(0.8, 1.5)
        delay += self._late.pop((source, target), 0)
        if self._random.random() < self.settings.late_share:
            delay += self._random.uniform(0, self.settings.late_seconds)
        await asyncio.sleep(delay)
        if (source, target) in self._cuts:
            await asyncio.Event().wait()
        await self._awake(target)

    async def _awake(self, node: str) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < self._stalled.get(node, 0):
            await asyncio.sleep(_WAKE_SECONDS)
