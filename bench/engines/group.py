"""Stand in for a group of engines whose ranks advance in lock-step.

A step begins when every rank can begin it and takes as long as the slowest
rank's tokens need.  Each rank uses the map that its record gives for the
step and holds where it gives none.  Stalls and restarts come on command; the
history keeps which map each rank used in each step.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc

import numpy

from bench.engines import step_history
from tamarackthread.agent import (
    engine,
    order_errors,
    switch_record,
    weight_loading,
)
from tamarackthread.policy import expert_map, moves

_PIECE_SECONDS = 0.002
_POLL_SECONDS = 0.001
_ORDER_SECONDS = 0.05
_TOKEN_GAPS = 0.05


class RankEngine(engine.Engine):
    """One rank's engine process."""

    def __init__(
        self,
        rank: int,
        group: 'LockStepGroup',
        checks_fencing: bool = False,
    ) -> None:
        """Start at once, without a record."""
        self.rank = rank
        self._group = group
        self._checks_fencing = checks_fencing
        self._incarnation = 1
        self._up = True
        self._stalled_until = float('-inf')
        self._begun = -1
        self._highest = 0
        self._started = asyncio.Event()
        self._pieces: collections.Counter[moves.Move] = collections.Counter()
        self.record: switch_record.SwitchRecord | None = None

    @property
    def incarnation(self) -> int:
        """Return the number of the running process."""
        return self._incarnation

    def stall(self, seconds: float) -> None:
        """Stand still for a while, keeping everything."""
        now = asyncio.get_running_loop().time()
        self._stalled_until = now + seconds

    async def restart(self, seconds: float) -> None:
        """Die and come up again without memory after some seconds."""
        self._up = False
        self.record = None
        self._begun = -1
        self._pieces.clear()
        self._group.changed.set()
        await asyncio.sleep(seconds)
        self._incarnation += 1
        self._up = True
        self._started.set()
        self._started = asyncio.Event()

    def begin(self, step: int) -> str | None:
        """Begin a step if possible and return its map's digest."""
        record = self.record
        if self.is_out or record is None:
            return None
        digest = record.map_at(step)
        if digest is not None:
            self._begun = step
        return digest

    @property
    def pieces_loaded(self) -> int:
        """Count the pieces that this process has loaded."""
        return sum(self._pieces.values())

    @property
    def is_up(self) -> bool:
        """Tell whether the process runs, though it may stand still."""
        return self._up

    @property
    def is_out(self) -> bool:
        """Tell whether the process is down or stands still."""
        now = asyncio.get_running_loop().time()
        return not self._up or now < self._stalled_until

    def holds_at(self, step: int) -> bool:
        """Tell whether only a missing decision keeps the rank from a step."""
        record = self.record
        return (
            not self.is_out
            and record is not None
            and record.map_at(step) is None
        )

    async def status(self) -> engine.EngineStatus:
        """Report the step of the whole group, which a rank hears of."""
        await self._respond()
        step_ms = self._group.step_ms
        return engine.EngineStatus(self._group.step, self._incarnation, step_ms)

    async def wait_started(self, incarnation: int) -> int:
        """Wait for a newer process."""
        while self._incarnation <= incarnation:
            await self._started.wait()
        return self._incarnation

    async def add_map(self, placement: expert_map.ExpertMap) -> None:
        """Make a map known to the group's clock."""
        await self._respond()
        self._group.add_map(placement)

    async def loaded(self) -> collections.abc.Collection[moves.Move]:
        """List the weights of which every piece came."""
        await self._respond()
        return [
            move
            for move, count in self._pieces.items()
            if count >= weight_loading.PIECES_PER_MOVE
        ]

    async def load_piece(self, piece: moves.Piece) -> None:
        """Take a short while for each piece."""
        await self._respond()
        await asyncio.sleep(_PIECE_SECONDS)
        self._pieces[piece.move] += 1

    async def apply_record(
        self,
        record: switch_record.SwitchRecord,
        fence: int,
    ) -> None:
        """Take a record unless it is older than the one at hand."""
        await self._respond()
        self._check_fence(fence)
        known = self.record
        if known is not None and record.order < known.order:
            return
        if record.is_open and self._begun >= record.from_step:
            raise order_errors.ArmTooLate()
        self.record = record
        self._group.changed.set()

    async def execute(
        self,
        action: str,
        body: str,
        fence: int,
        report: engine.Report,
    ) -> str:
        """Note the order's execution and take a while."""
        await self._respond()
        self._check_fence(fence)
        now = asyncio.get_running_loop().time()
        executed = step_history.Executed(now, self.rank, fence, action)
        self._group.history.orders.append(executed)
        await asyncio.sleep(_ORDER_SECONDS)
        report(1)
        return action

    async def _respond(self) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < self._stalled_until:
            await asyncio.sleep(_POLL_SECONDS)
        if not self._up:
            raise order_errors.EngineFailed('engine is down')

    def _check_fence(self, fence: int) -> None:
        if self._checks_fencing and fence < self._highest:
            raise order_errors.EngineFailed('engine refuses an old number')
        self._highest = max(self._highest, fence)


class LockStepGroup:
    """Run the steps of a group and keep their history."""

    def __init__(self, tokens: numpy.ndarray, token_seconds: float) -> None:
        """Set tokens for each layer and expert in one step."""
        self._tokens = tokens
        self._token_seconds = token_seconds
        self._durations: dict[str, float] = {}
        self._maps: dict[str, expert_map.ExpertMap] = {}
        self._reports: collections.deque[numpy.ndarray] = collections.deque(
            maxlen=3,
        )
        self._random = numpy.random.default_rng(1)
        self.engines: list[RankEngine] = []
        self.changed = asyncio.Event()
        self.history = step_history.History()
        self.step = 0

    @property
    def step_ms(self) -> float:
        """Return the duration of the last step."""
        steps = self.history.steps
        return steps[-1].seconds * 1000 if steps else 0

    def add_map(self, placement: expert_map.ExpertMap) -> None:
        """Work out how long a step takes under a map."""
        loads = placement.rank_loads(self._tokens).max(axis=1)
        seconds = float(loads.sum()) * self._token_seconds
        self._durations[placement.digest()] = seconds
        self._maps[placement.digest()] = placement

    def retune(self, tokens: numpy.ndarray) -> None:
        """Change the load: tokens for each layer and expert in one step."""
        self._tokens = tokens
        for placement in tuple(self._maps.values()):
            self.add_map(placement)

    def token_report(self) -> numpy.ndarray | None:
        """Return an old count of tokens, and at times nothing."""
        self._reports.append(self._random.poisson(self._tokens))
        if self._random.random() < _TOKEN_GAPS or len(self._reports) < 3:
            return None
        return self._reports[0]

    async def run(self) -> None:
        """Run steps for ever."""
        while True:
            await self._run_step()
            self.step += 1

    async def _run_step(self) -> None:
        loop = asyncio.get_running_loop()
        begun: dict[int, tuple[int, str]] = {}
        held = float(0)
        while True:
            self.changed.clear()
            self._begin(begun)
            out = any(one.is_out for one in self.engines)
            if len(begun) == len(self.engines) and not out:
                break
            since = loop.time()
            holds = any(one.holds_at(self.step) for one in self.engines)
            await self._wait_change()
            held += (loop.time() - since) * holds
        used = tuple(begun[rank][1] for rank in sorted(begun))
        seconds = max(self._durations.get(digest, 0) for digest in used)
        started = loop.time()
        await asyncio.sleep(seconds)
        step = step_history.Step(self.step, started, used, held, seconds)
        self.history.steps.append(step)

    def _begin(self, begun: dict[int, tuple[int, str]]) -> None:
        for one in self.engines:
            known = begun.get(one.rank)
            if one.is_up and known and known[0] == one.incarnation:
                continue
            # A rank that restarted within the step begins it once more.
            begun.pop(one.rank, None)
            digest = one.begin(self.step)
            if digest is not None:
                begun[one.rank] = (one.incarnation, digest)

    async def _wait_change(self) -> None:
        waiting = asyncio.ensure_future(self.changed.wait())
        # Stalls end without a sign.
        await asyncio.wait((waiting,), timeout=_POLL_SECONDS)
        waiting.cancel()
