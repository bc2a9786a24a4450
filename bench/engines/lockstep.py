"""Emulate one group of ranks in lock-step whose experts in demand shift.

A step takes as long as the slowest rank's own part, plus, set by set, the part
of the rank whose experts are chosen most: a share of the work for tokens.  Reports lag, copies take time, and a
switch of the map needs every rank to be armed, as with real engines.
"""

from __future__ import annotations

import asyncio
import collections

import attrs
import numpy

from bench.engines import lockstep_stream, pace
from tamarackthread.control.site.maps import ranks

REPORT_LAG_SECONDS = 0.2
ANSWER_SECONDS = 0.003
# All ranks rest so long for so many numbers that are read of one of them.
REST_SECONDS = 0.0005
REST_NUMBERS = 400
# While a rank copies experts, passes take so much longer.
COPYING_SHARE = 0.15
# Choices of experts that one token makes in a set, as a rank counts them.
PICKS = 48
# Spread of how often experts are chosen (log-normal); with it a map that gives
# each rank as many experts has about 3 times the mean on one, as on machines.
SPREAD = 1.0


@attrs.define(eq=False)
class _Rank:
    pace: float = 1
    running: list[lockstep_stream.Stream] = attrs.field(factory=list)
    waiting: collections.deque[lockstep_stream.Stream] = attrs.field(
        factory=collections.deque
    )
    prepared: int | None = None
    placement: tuple[tuple[int, ...], ...] = ()
    copied_at: float = 0
    armed: ranks.Armed | None = None
    held: int | None = None


class Group(ranks.Ranks):
    """Run streams in passes and take the orders of a map's owner."""

    def __init__(self, engine: pace.Engine, generator: numpy.random.Generator):
        """Start idle, with each rank's experts in turn."""
        self._engine = engine
        self._generator = generator
        self._rows = [_Rank() for _ in range(engine.ranks)]
        shape = engine.shape
        self._version = 0
        self._map: ranks.GroupMap = tuple(
            tuple(
                tuple(range(rank, shape.experts, engine.ranks))
                for rank in range(engine.ranks)
            )
            for _ in range(shape.sets)
        )
        self._demand = self._draw()
        # By set and rank, until map or demand change.
        self._loads: numpy.ndarray | None = None
        self._counts = numpy.zeros(
            (engine.ranks, shape.sets, shape.experts), dtype=int
        )
        self._reports: collections.deque[tuple[float, list]] = (
            collections.deque()
        )
        self._rest = float(0)
        self.step = 0
        self.skews: list[float] = []
        self.passes: list[float] = []
        self.copies = 0
        self.switches = 0

    @property
    def demand(self) -> numpy.ndarray:
        """Return the share of each expert, by set."""
        return self._demand

    def members(self, service: str) -> list[ranks.Rank]:
        """List the ranks."""
        return [ranks.Rank(str(row), str(row)) for row in self._numbers()]

    def record_pace(self, target: str, pace: float) -> None:
        """Take what an owner tells of a rank; the entries are told apart."""

    def slow(self, rank: int, pace: float) -> None:
        """Have a rank take so many times as long."""
        self._rows[rank].pace = pace

    def shift(self, share: float) -> None:
        """Draw anew how often a share of the experts is chosen."""
        fresh = self._draw()
        kept = self._generator.random(self._demand.shape) >= share
        mixed = numpy.where(kept, self._demand, fresh)
        self._demand = mixed / mixed.sum(axis=1, keepdims=True)
        self._loads = None

    def put(self, placement: ranks.GroupMap) -> None:
        """Put a map in force at once, as no real engine can."""
        self._map = placement
        self._loads = None

    @property
    def placement_in_force(self) -> ranks.GroupMap:
        """Return the map in force."""
        return self._map

    def take(self, rank: int, stream: lockstep_stream.Stream) -> bool:
        """Take a stream; ``False`` if running and waiting are full."""
        row = self._rows[rank]
        if len(row.running) + len(row.waiting) >= 2 * self._engine.slots:
            return False
        row.waiting.append(stream)
        return True

    async def run(self) -> None:
        """Make passes for ever; an idle group makes none."""
        while True:
            self._admit()
            is_held = any(row.held == self.step + 1 for row in self._rows)
            if is_held or not any(row.running for row in self._rows):
                await asyncio.sleep(0.002)
                self._remember()
                continue
            self._begin()
            seconds = self._pass_seconds()
            self.passes.append(seconds)
            await asyncio.sleep(seconds)
            self._end()
            self._remember()

    async def report(self, rank: ranks.Rank) -> ranks.RankReport | None:
        """Tell of a rank as it was some time ago."""
        await asyncio.sleep(ANSWER_SECONDS)
        return self._reports[0][1][int(rank.address)]

    async def counts(self, rank: ranks.Rank, sets: int) -> ranks.Counts | None:
        """Tell how often a rank's streams chose each expert."""
        await asyncio.sleep(ANSWER_SECONDS)
        self._rest += self.stall_seconds(self._counts[0].size)
        rows = self._counts[int(rank.address)].tolist()
        return ranks.Counts(1, tuple(tuple(row) for row in rows))

    async def placement(
        self,
        rank: ranks.Rank,
    ) -> tuple[int, tuple[tuple[int, ...], ...]] | None:
        """Tell the version in force and a rank's experts."""
        await asyncio.sleep(ANSWER_SECONDS)
        row = int(rank.address)
        self._rest += self.stall_seconds(
            self._engine.shape.sets * self._engine.shape.placements
        )
        return self._version, tuple(held[row] for held in self._map)

    def stall_seconds(self, numbers: int) -> float:
        """Return how long all ranks rest while so many numbers are read."""
        return numbers * REST_SECONDS / REST_NUMBERS

    async def order(
        self,
        rank: ranks.Rank,
        asked: ranks.Order,
    ) -> ranks.Outcome:
        """Carry out an order."""
        await asyncio.sleep(ANSWER_SECONDS)
        row = self._rows[int(rank.address)]
        carry_out = {
            ranks.PREPARE: self._prepare,
            ranks.ARM: self._arm,
            ranks.HOLD: self._hold,
            ranks.GO: self._go,
        }[asked.operation]
        is_done = carry_out(int(rank.address), row, asked)
        return ranks.Outcome.DONE if is_done else ranks.Outcome.REFUSED

    async def close(self) -> None:
        """Close nothing: there are no connections."""

    def _numbers(self) -> range:
        return range(self._engine.ranks)

    def _draw(self) -> numpy.ndarray:
        shape = self._engine.shape
        drawn = self._generator.lognormal(
            0, SPREAD, (shape.sets, shape.experts)
        )
        return drawn / drawn.sum(axis=1, keepdims=True)

    def _prepare(self, rank: int, row: _Rank, asked: ranks.Order) -> bool:
        if row.armed is not None:
            return False
        fresh = sum(
            len(set(new[rank]).difference(old[rank]))
            for old, new in zip(self._map, asked.placement, strict=True)
        )
        self.copies += fresh
        row.prepared = asked.version
        row.placement = asked.placement
        now = asyncio.get_running_loop().time()
        row.copied_at = now + fresh * self._engine.shape.copy_seconds
        return True

    def _arm(self, rank: int, row: _Rank, asked: ranks.Order) -> bool:
        now = asyncio.get_running_loop().time()
        if asked.step <= self.step or now < row.copied_at:
            return False
        row.armed = ranks.Armed(asked.version, asked.step)
        return True

    def _hold(self, rank: int, row: _Rank, asked: ranks.Order) -> bool:
        if asked.step <= self.step:
            return False
        row.held = asked.step
        return True

    def _go(self, rank: int, row: _Rank, asked: ranks.Order) -> bool:
        row.held = None
        return True

    def _admit(self) -> None:
        for row in self._rows:
            while row.waiting and len(row.running) < self._engine.slots:
                row.running.append(row.waiting.popleft())

    def _begin(self) -> None:
        self.step += 1
        armed = self._rows[0].armed
        if armed is None or armed.step > self.step:
            return
        self._version = armed.version
        self._map = self._rows[0].placement
        self._loads = None
        self.switches += 1
        for row in self._rows:
            row.armed = None

    def _pass_seconds(self) -> float:
        work = numpy.array([self._work_seconds(row) for row in self._rows])
        paces = numpy.array([row.pace for row in self._rows])
        if self._loads is None:
            self._loads = numpy.array(
                [
                    _loads(held, shares)
                    for held, shares in zip(
                        self._map, self._demand, strict=True
                    )
                ]
            )
        worst = numpy.mean((self._loads * paces).max(axis=1))
        skew = float(worst) * self._engine.ranks
        self.skews.append(skew)
        share = self._engine.expert_share
        fixed = self._engine.stride * self._engine.step
        own = fixed + (1 - share) * work
        alone = max(own * paces) + share * numpy.mean(work) * skew
        rest = self._rest
        self._rest = 0
        return float(alone * self._copying() + rest)

    def _copying(self) -> float:
        """Return how many times as long a pass takes for copies under way."""
        now = asyncio.get_running_loop().time()
        is_copying = any(row.copied_at > now for row in self._rows)
        return 1 + COPYING_SHARE if is_copying else 1

    def _work_seconds(self, row: _Rank) -> float:
        """Return the work for the tokens of a rank's own streams."""
        engine = self._engine
        writing = engine.stride * engine.per_call * len(row.running)
        unread = sum(stream.prompt for stream in row.running)
        read = min(unread, engine.chunk * engine.stride)
        return writing + read / engine.tokens_per_second

    def _end(self) -> None:
        now = asyncio.get_running_loop().time()
        for number, row in enumerate(self._rows):
            tokens = 0
            readable = self._engine.chunk * self._engine.stride
            for stream in row.running:
                read = min(stream.prompt, readable)
                readable -= read
                stream.prompt -= read
                tokens += read
                if stream.prompt:
                    continue
                tokens += self._engine.stride
                stream.take_event(now)
            row.running = [one for one in row.running if one.events > 0]
            self._count(number, tokens)

    def _count(self, rank: int, tokens: int) -> None:
        if not tokens:
            return
        chosen = self._generator.poisson(self._demand * (tokens * PICKS))
        self._counts[rank] += chosen

    def _remember(self) -> None:
        now = asyncio.get_running_loop().time()
        self._reports.append((now, self._told()))
        while len(self._reports) > 1 and (
            self._reports[1][0] <= now - REPORT_LAG_SECONDS
        ):
            self._reports.popleft()

    def _told(self) -> list[ranks.RankReport]:
        return [
            ranks.RankReport(
                group='g',
                epoch=1,
                rank=number,
                size=self._engine.ranks,
                is_open=True,
                step=self.step,
                version=self._version,
                prepared=row.prepared,
                armed=row.armed,
                held=row.held,
                pace=row.pace,
                running=len(row.running),
                waiting=len(row.waiting),
            )
            for number, row in enumerate(self._rows)
        ]


def _loads(
    held: tuple[tuple[int, ...], ...],
    shares: numpy.ndarray,
) -> numpy.ndarray:
    """Return each rank's part of the choices of one set."""
    owners = numpy.zeros(len(shares))
    for experts in held:
        owners[list(experts)] += 1
    each = shares / owners
    return numpy.array([each[list(row)].sum() for row in held])
