"""Run a group whose hosts join by themselves and can be frozen."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import typing

from tamarackthread.control import consensus, replica, timing
from tamarackthread.control.site import host, joining
from tamarackthread.generated import settings
from tamarackthread.generated.messages import ttypes as messages
from tests import consensus_net, freezing_loop

SEEDS = ('h1', 'h2', 'h3')
# The group bears the loss of one host.
TIMES = host.group_timing(
    settings.Site(
        seeds=SEEDS, link_port=1, lost_hosts=1, engines_check_fences=True
    )
)


class _Links:
    """Carry the requests of a joiner over the fake network."""

    def __init__(self, net: MembershipNet, node: str) -> None:
        self._carrier = net.network.transport(node)

    async def request(
        self, address: str, request: messages.Request, timeout_seconds: float
    ) -> messages.Reply:
        return await self._carrier.call(address, request, timeout_seconds)


class FrozenCase(consensus_net.PausedCase):
    """Run a coroutine on a loop whose simulated processes can be frozen."""

    def new_loop(self) -> freezing_loop.FreezingLoop:
        """Return a loop whose processes can be frozen."""
        return freezing_loop.FreezingLoop()

    def cancel_tasks(self, loop: freezing_loop.FreezingLoop) -> None:
        """Cancel remaining tasks, those of frozen processes too."""
        loop.wake_all()
        super().cancel_tasks(loop)


class MembershipNet(consensus_net.Net):
    """Simulate hosts of a site that join, freeze, leave and lose disks."""

    def __init__(self, seed: int, times: timing.Timing = TIMES) -> None:
        """Draw all delays from ``seed``."""
        super().__init__()
        self.rng = random.Random(seed)
        self.network._rng = self.rng
        self._times = times
        self.elected: dict[int, set[str]] = {}
        self.votes: dict[tuple[int, str, bytes], set[str]] = {}
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}

    @property
    def loop(self) -> freezing_loop.FreezingLoop:
        """Return the loop that the simulation runs on."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, freezing_loop.FreezingLoop)
        return loop

    async def run_host(
        self,
        node: str,
        *,
        first_start: bool = False,
        seeds: collections.abc.Sequence[str] = (),
    ) -> None:
        """Start a host's process, which joins the group by itself.

        Its settings name ``seeds``, or drawn ones.
        """
        seeds = seeds or self._draw_seeds(first_start)
        self.machines[node] = self._machine_of()
        process = consensus.Consensus(
            group=consensus_net.GROUP,
            node=node,
            machine=self.machines[node],
            disk=self.disk(node),
            transport=self.network.transport(node),
            members={seed: seed for seed in SEEDS} if first_start else {},
            timing=self._times,
            rng=self.rng,
        )
        joiner = joining.Joiner(
            process,
            _Links(self, node),
            node,
            node,
            lambda: [*seeds, *(row.address for row in process.members())],
        )
        await freezing_loop.create_task(node, process.start())
        self.processes[node] = process
        self._tasks[node] = [
            freezing_loop.create_task(node, joiner.run()),
        ]
        self._note_elections(process)

        async def handle(request: messages.Request) -> messages.Reply:
            # A request that has arrived is handled even if its sender has
            # stopped waiting for the answer.
            answering = freezing_loop.create_task(node, process.handle(request))
            reply = await asyncio.shield(answering)
            self._note_vote(node, request.vote, reply.vote)
            return reply

        self.network.handlers[node] = handle

    def crash(self, node: str) -> None:
        """Kill a host's process; its disk keeps what was synced."""
        for task in self._tasks.pop(node):
            task.cancel()
        self.kill(node)

    async def freeze(self, node: str, seconds: float) -> None:
        """Freeze a host for a time."""
        self.loop.freeze(node)
        await asyncio.sleep(seconds)
        self.loop.wake(node)

    async def lose_disk(self, node: str, seconds: float) -> None:
        """Kill a host, and start it with an empty disk after a time."""
        self.crash(node)
        self.platters[node].wipe()
        await asyncio.sleep(seconds)
        await self.run_host(node)

    async def leave(self, node: str) -> None:
        """Stop a host for good, as planned."""
        process = self.processes.pop(node)
        await freezing_loop.create_task(node, process.stop())
        self.network.handlers.pop(node, None)
        for task in self._tasks.pop(node):
            task.cancel()

    async def commit(self, row: str, seconds: float) -> bool:
        """Submit a row at one host after another; return whether it is acked."""
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            for node in sorted(self.processes):
                if await self._submit(node, row):
                    return True
            await asyncio.sleep(0.1)
        return False

    def replicas(self) -> dict[str, replica.Replica]:
        """Return the state of each host that runs."""
        return {node: self.state(node) for node in self.processes}

    def _draw_seeds(self, first_start: bool) -> list[str]:
        """Return what the settings name: three hosts that run, the leader or not."""
        if first_start:
            return list(SEEDS)
        running = sorted(self.processes)
        return self.rng.sample(running, min(len(SEEDS), len(running)))

    async def _submit(self, node: str, row: str) -> bool:
        process = self.processes.get(node)
        if process is None:
            return False
        asking = freezing_loop.create_task(
            node, process.submit(row.encode(), 0.85)
        )
        # An answer that comes later is ignored, but not its error.
        asking.add_done_callback(asyncio.Task.exception)
        await asyncio.wait([asking], timeout=1)
        if not asking.done():
            return False
        return asking.exception() is None

    def _note_elections(self, process: consensus.Consensus) -> None:
        """Note each election that this process wins, and the vote for itself."""
        state = process._state
        become_leader = state.become_leader

        def noted() -> typing.Any:
            term = become_leader()
            node = state.parts.node
            self.elected.setdefault(term.term, set()).add(node)
            voter = (term.term, node, process.disk_id)
            self.votes.setdefault(voter, set()).add(node)
            return term

        state.become_leader = noted

    def _note_vote(
        self,
        node: str,
        request: messages.VoteRequest | None,
        reply: messages.VoteReply | None,
    ) -> None:
        if request is None or reply is None:
            return
        if reply.granted and not request.pre_vote:
            voter = (request.term, node, reply.disk_id)
            self.votes.setdefault(voter, set()).add(request.candidate)
