"""Build a group with agents, owners and control on one paused clock.

Everything but the engines, the network and control's log is the product's
own code.  Control keeps its real tables of leases and decisions, on one node
that never forgets.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import random

import attrs
import numpy

from bench.engines import fake_control, group, network
from tamarackthread.agent import (
    group_runtime,
    orders,
    rank_transport,
    switch_coordinator,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import expert_map
from tamarackthread.shared import errors

GROUP = 'group-1'


def _plant_nothing(executor: orders.OrderExecutor) -> None:
    """Leave the desk as it is."""


@attrs.frozen
class WorldSettings:
    """Hold the sizes of a world and the planted faults of tests."""

    seed: int
    ranks: int = 8
    owners: int = 2
    checks_fencing: bool = False
    engine_class: type[group.RankEngine] = group.RankEngine
    plant: collections.abc.Callable[[orders.OrderExecutor], None] = (
        _plant_nothing
    )
    links: network.NetworkSettings = network.NetworkSettings()
    switching: switch_coordinator.CoordinatorSettings = (
        switch_coordinator.CoordinatorSettings()
    )


class NodeRanks(rank_transport.RankTransport):
    """Reach the hosts' desks over the network from one node."""

    def __init__(self, node: str, world: 'World') -> None:
        """Call as ``node``."""
        self._node = node
        self._world = world

    @property
    def ranks(self) -> collections.abc.Sequence[int]:
        """Number all ranks."""
        return range(len(self._world.hosts))

    async def send(
        self,
        rank: int,
        order: messages.GroupOrder,
        timeout_seconds: float,
    ) -> messages.GroupOrderReply:
        """Hand the order to the desk that is there when it arrives."""
        host = self._world.hosts[rank]
        return await self._world.links.call(
            self._node,
            host.node,
            lambda: host.runtime.handle_order(order),
            timeout_seconds,
        )


class Host:
    """One rank's host: the engine, and the agent beside it."""

    def __init__(self, rank: int, world: 'World') -> None:
        """Start neither."""
        self.rank = rank
        self.node = f'rank-{rank}'
        self._world = world
        settings = world.settings
        self.engine = settings.engine_class(
            rank,
            world.group,
            settings.checks_fencing,
        )
        self._leading: asyncio.Task[None] | None = None
        self._build()

    def start_agent(self) -> None:
        """Run the agent's tasks."""
        self.runtime.start()
        if self.rank < self._world.settings.owners:
            self._leading = asyncio.create_task(self._lead())

    async def restart_agent(self, seconds: float) -> None:
        """Lose the agent's memory and start it again."""
        self.runtime.abandon()
        if self._leading is not None:
            self._leading.cancel()
        self._world.links.stall(self.node, seconds)
        await asyncio.sleep(seconds)
        self._build()
        self.start_agent()

    def _build(self) -> None:
        world = self._world
        self.runtime = group_runtime.GroupRuntime(
            group_runtime.GroupSettings(
                GROUP,
                self.rank,
                self.node,
                world.initial,
                candidate=self.rank < world.settings.owners,
                checks_fencing=world.settings.checks_fencing,
                switching=world.settings.switching,
            ),
            fake_control.NodeControl(self.node, world.links, world.control),
            NodeRanks(self.node, world),
            self.engine,
        )
        world.settings.plant(self.runtime.executor)

    async def _lead(self) -> None:
        """Switch to new maps and give other orders as long as we own."""
        rng = random.Random(self._world.settings.seed * 1000 + self.rank)
        while True:
            await self.runtime.owner.wait_owner()
            self._world.note_order(await self._order(rng))
            await asyncio.sleep(rng.uniform(0.05, 0.3))
            if (
                not self.runtime.owner.is_owner
                or not self._world.wants_switch()
            ):
                continue
            try:
                await self.runtime.coordinator.switch_to(self._world.next_map())
            except errors.CodedError as exc:
                self._world.reasons[exc.code] += 1

    async def _order(self, rng: random.Random) -> int:
        name = f'adapter-{rng.randrange(1 << 30)}'
        states = await self.runtime.owner.order_all('load_adapter', name, '{}')
        return sum(
            not isinstance(state, errors.CodedError)
            for state in states.values()
        )


class World:
    """Hold the parts and run them for a while."""

    def __init__(self, settings: WorldSettings) -> None:
        """Build everything; needs a running loop."""
        self.settings = settings
        self._random = random.Random(settings.seed)
        self._numbers = numpy.random.default_rng(settings.seed)
        self.shape = expert_map.GroupShape(
            layers=1,
            experts=2 * settings.ranks,
            ranks=settings.ranks,
            slots=3,
        )
        self.initial = expert_map.cold_start(self.shape)
        self.links = network.Network(self._random, settings.links)
        self.control = fake_control.Control()
        tokens = numpy.full((1, self.shape.experts), 1000)
        self.group = group.LockStepGroup(tokens, token_seconds=3e-6)
        self.group.add_map(self.initial)
        self.reasons: collections.Counter[str] = collections.Counter()
        self.hosts: list[Host] = []
        for rank in range(settings.ranks):
            self.hosts.append(Host(rank, self))
        self.group.engines = [host.engine for host in self.hosts]
        self.switching = True

    def start(self) -> asyncio.Task[None]:
        """Start all agents and the group; return the group's task."""
        for host in self.hosts:
            host.start_agent()
        return asyncio.create_task(self.group.run())

    def next_map(self) -> expert_map.ExpertMap:
        """Draw a map at random."""
        shape = self.shape
        base = self._numbers.permutation(shape.experts)
        first = base.reshape(shape.ranks, -1)
        spare = numpy.roll(first, 1, axis=0)[..., 0]
        slots = numpy.column_stack((first, spare)).astype(numpy.int16)
        return expert_map.ExpertMap(shape, slots.reshape(1, shape.ranks, -1))

    def wants_switch(self) -> bool:
        """Tell whether another switch should begin."""
        return self.switching

    def note_order(self, accepted: int) -> None:
        """Count orders that ranks accepted."""
        self.reasons['orders'] += accepted
