"""Switch expert maps under stalls, restarts, isolation and lost owners.

Time is paused: a run of minutes takes as long as its work.  Undisturbed
switches are run apart, to show what a switch costs when nothing fails.
"""

from __future__ import annotations

import asyncio
import collections.abc
import logging
import random
import typing

import async_solipsism

from bench.engines import (
    fake_control,
    network,
    switch_checker,
    switch_picture,
    switch_world,
)
from tamarackthread.agent import switch_coordinator

_SEEDS = tuple(range(1, 9))
_LONGEST_SECONDS = 600
_DISTURBED = network.NetworkSettings(
    late_share=0.01,
    late_seconds=1.5,
    lost_share=0.005,
)


# A step so near that ranks hold whenever anything is late.
_SHORT = switch_coordinator.CoordinatorSettings(lead_seconds=0.3)


def run(quick: bool) -> dict:
    """Run disturbed and undisturbed worlds and return the figures."""
    logging.getLogger('tamarackthread').setLevel(logging.ERROR)
    logging.getLogger('transitions').setLevel(logging.ERROR)
    seeds = _SEEDS[:3] if quick else _SEEDS
    ranks = 8 if quick else 32
    seconds = 60 if quick else 150
    disturbed = [
        run_world(
            disturbed_settings(
                seed, ranks, switch_coordinator.CoordinatorSettings()
            ),
            seconds,
        )
        for seed in seeds
    ]
    short = [
        run_world(disturbed_settings(seed, ranks, _SHORT), seconds)
        for seed in seeds[: len(seeds) // 2 + 1]
    ]
    calm = run_world(switch_world.WorldSettings(0, ranks), seconds, calm=True)
    figures = _figures(disturbed)
    figures['short_ahead'] = _figures(short)
    figures['undisturbed'] = _figures([calm])
    figures['ranks'] = ranks
    figures['seeds'] = len(seeds)
    switch_picture.draw(disturbed, calm, 'out/switch.png')
    print(figures)
    return figures


def _figures(found: list[switch_checker.Findings]) -> dict:
    held = tuple(one for findings in found for one in findings.held_ms)
    names = (
        'switches',
        'aborted',
        'undecided',
        'mixed_map_steps',
        'unrecorded_map_steps',
        'stale_orders_run',
        'steps',
        'orders',
    )
    figures: dict = {
        name: sum(getattr(findings, name) for findings in found)
        for name in names
    }
    figures['hold_p99_ms'] = switch_checker.percentile(held, 0.99)
    figures['hold_max_ms'] = switch_checker.percentile(held, 1)
    figures['holds'] = sum(one > 0 for one in held)
    return figures


def disturbed_settings(
    seed: int,
    ranks: int,
    ahead: switch_coordinator.CoordinatorSettings,
) -> switch_world.WorldSettings:
    """Give odd seeds engines that ignore fencing numbers."""
    return switch_world.WorldSettings(
        seed,
        ranks,
        checks_fencing=seed % 2 == 0,
        links=_DISTURBED,
        switching=ahead,
    )


def run_world(
    settings: switch_world.WorldSettings,
    seconds: float,
    calm: bool = False,
) -> switch_checker.Findings:
    """Run one world on a paused clock and check its history."""
    return run_paused(lambda: _run(settings, seconds, calm))


def run_paused(scene: collections.abc.Callable) -> typing.Any:
    """Run a coroutine function on a paused clock, and end its tasks."""
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(
            asyncio.wait_for(scene(), _LONGEST_SECONDS),
        )
    finally:
        _cancel_all(loop)
        loop.close()


async def _run(
    settings: switch_world.WorldSettings,
    seconds: float,
    calm: bool,
) -> switch_checker.Findings:
    world = switch_world.World(settings)
    running = world.start()
    if calm:
        await asyncio.sleep(seconds)
    else:
        await Disturber(world).run(seconds)
    # Let the last switch end, so that no hold is cut short by the end.
    world.switching = False
    world.links.heal()
    await asyncio.sleep(10)
    if running.done():
        running.result()
    return switch_checker.check(
        world.group.history,
        world.control.records,
        world.initial.digest(),
    )


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))


class Disturber:
    """Cause one trouble after the other, at times two at once."""

    def __init__(self, world: switch_world.World) -> None:
        """Draw everything from the world's seed."""
        self._world = world
        self._random = random.Random(world.settings.seed * 7919)
        self._troubles = (
            self._stall_engine,
            self._restart_engine,
            self._restart_agent,
            self._stall_agent,
            self._isolate_owner_from_control,
            self._isolate_owner_from_ranks,
            self._isolate_rank,
            self._restart_group_part,
        )

    async def run(self, seconds: float) -> None:
        """Cause troubles for some seconds of the loop's time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self._random.uniform(0.05, 1.2))
            together = self._random.choice((1, 1, 2))
            chosen = self._random.sample(self._troubles, together)
            await asyncio.gather(*(trouble() for trouble in chosen))

    def _host(self) -> switch_world.Host:
        return self._random.choice(self._world.hosts)

    def _owner(self) -> switch_world.Host:
        for host in self._world.hosts:
            if host.runtime.owner.is_owner:
                return host
        return self._world.hosts[0]

    async def _stall_engine(self) -> None:
        self._host().engine.stall(self._random.uniform(0.02, 1))

    async def _restart_engine(self) -> None:
        down = self._random.uniform(0.1, 0.6)
        await self._host().engine.restart(down)

    async def _restart_agent(self) -> None:
        await self._host().restart_agent(self._random.uniform(0.05, 0.5))

    async def _stall_agent(self) -> None:
        host = self._random.choice((self._host(), self._owner()))
        self._world.links.stall(host.node, self._random.uniform(0.1, 3))

    async def _isolate_owner_from_control(self) -> None:
        await self._isolate(self._owner(), [fake_control.CONTROL])

    async def _isolate_owner_from_ranks(self) -> None:
        owner = self._owner()
        nodes = [host.node for host in self._world.hosts if host != owner]
        count = self._random.randint(1, len(nodes))
        await self._isolate(owner, self._random.sample(nodes, count))

    async def _isolate_rank(self) -> None:
        host = self._host()
        nodes = [one.node for one in self._world.hosts if one != host]
        await self._isolate(host, [*nodes, fake_control.CONTROL])

    async def _restart_group_part(self) -> None:
        hosts = self._random.sample(self._world.hosts, 3)
        await asyncio.gather(
            *(host.restart_agent(0.2) for host in hosts),
            *(host.engine.restart(0.3) for host in hosts),
        )

    async def _isolate(
        self,
        host: switch_world.Host,
        others: list[str],
    ) -> None:
        self._world.links.cut(host.node, others)
        await asyncio.sleep(self._random.uniform(0.2, 4))
        self._world.links.heal()
