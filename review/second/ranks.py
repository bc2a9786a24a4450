"""Model replicas that are the ranks of one group and step together."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time
import typing

from review.second import replica, web

SIZE = 4
SETS = 2
EXPERTS = 8
PASS_SECONDS = 0.1
REPORT_LAG_SECONDS = 0.2
TICK_SECONDS = 0.02
EVENTS = 20
# Of the tokens of a pass, this many choose the two liked experts of one rank.
LIKED_TOKENS = 40
EXPERT_SECONDS = 0.08
SHIFT_PASSES = 40
# The share of a spoiling rank's answers to control that are sent twice, at most.
SPOILED_SHARE = 0.03
REPORT = '/tamarackthread/report'
PICKED = '/tamarackthread/picked'
ORDER = '/tamarackthread/order'
DONE = 202
HELD_ALREADY = 200
MISFIT = 409
FENCED = 412
_Map = list[list[int]]
_Report = dict[str, typing.Any]


@dataclasses.dataclass
class State:
    """What one rank holds: by set, the experts of each map it knows."""

    number: int
    version: int = 0
    experts: _Map = dataclasses.field(default_factory=list)
    highest: int = 0
    copying: tuple[int, _Map, float] | None = None
    prepared: tuple[int, _Map] | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None
    fence: int = 0
    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0 for _ in range(SETS * EXPERTS)]
    )
    streams: int = 0
    # How much longer than the link needs its copies take.
    copy_extra: float = 0


class Group:
    """Four ranks in lock-step, and the passes that they have begun."""

    def __init__(self) -> None:
        """Start with map 0, which assigns experts in turn."""
        self.ranks = [State(number) for number in range(SIZE)]
        for rank in self.ranks:
            rank.experts = [
                list(range(rank.number, EXPERTS, SIZE)) for _ in range(SETS)
            ]
        self.step = 0
        self.passed = asyncio.Event()
        # Steps that began with more than one map, with the versions of all.
        self.mixed: list[tuple[int, list[int]]] = []
        self.switches = 0
        self._reports: list[tuple[float, list[_Report]]] = []

    async def run(self) -> None:
        """Make passes while there are streams, unless a rank holds them."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            for copying in self.ranks:
                _finish_copies(copying, now)
            self._keep_reports(now)
            is_busy = any(rank.streams for rank in self.ranks)
            if is_busy and now - last >= PASS_SECONDS and self._may_begin():
                last = now
                self._begin()

    def report(self, number: int) -> _Report:
        """Return a rank's report of a little earlier."""
        before = time.monotonic() - REPORT_LAG_SECONDS
        found = self._reports[0][1]
        for taken_at, reports in self._reports:
            if taken_at > before:
                break
            found = reports
        return found[number]

    def picked(self, number: int, *, lists: bool) -> _Report:
        """Return the counts of a rank, or its experts."""
        rank = self.ranks[number]
        if not lists:
            return {'step': self.step, 'epoch': 1, 'counts': rank.counts}
        return {
            'epoch': 1,
            'map': {'version': rank.version, 'experts': rank.experts},
        }

    def order(self, number: int, order: _Report) -> int:
        """Carry out an order as the pages say; return the status."""
        rank = self.ranks[number]
        fence = order.get('fencing-token', 0)
        if fence < rank.fence:
            return FENCED
        rank.fence = fence
        if order.get('epoch', 1) != 1:
            return MISFIT
        operations = {
            'prepare': self._prepare,
            'arm': self._arm,
            'disarm': _disarm,
            'hold': self._hold,
            'go': _go,
        }
        return operations[order['operation']](rank, order)

    def _may_begin(self) -> bool:
        return all(rank.held != self.step + 1 for rank in self.ranks)

    def _begin(self) -> None:
        self.step += 1
        for armed in self.ranks:
            if armed.armed is not None and armed.armed[1] == self.step:
                _switch(armed)
        versions = [rank.version for rank in self.ranks]
        if len(set(versions)) > 1:
            self.mixed.append((self.step, versions))
        liked = self.step // SHIFT_PASSES % SIZE
        for counted in self.ranks:
            _count(counted, liked)
        self.passed.set()
        self.passed = asyncio.Event()

    def _keep_reports(self, now: float) -> None:
        self._reports.append((now, [self._state(rank) for rank in self.ranks]))
        del self._reports[:-50]

    def _state(self, rank: State) -> _Report:
        armed = rank.armed
        return {
            'stage': 'both',
            'busy': False,
            'sequence': 0,
            'group': {
                'name': 'g',
                'epoch': 1,
                'rank': rank.number,
                'state': 'open',
                'size': SIZE,
            },
            'step': self.step,
            'map': rank.version,
            'prepared': rank.prepared[0] if rank.prepared else None,
            'armed': armed and {'version': armed[0], 'step': armed[1]},
            'held': rank.held,
            'pace': 1,
            'running': rank.streams,
            'waiting': 0,
        }

    def _prepare(self, rank: State, order: _Report) -> int:
        version = order['version']
        if version <= rank.highest or rank.armed is not None:
            return MISFIT
        rank.highest = version
        rank.prepared = None
        wanted = [by_rank[rank.number] for by_rank in order['map']]
        new = sum(
            len(set(after).difference(before))
            for before, after in zip(rank.experts, wanted, strict=True)
        )
        seconds = new * EXPERT_SECONDS + rank.copy_extra
        rank.copying = (version, wanted, time.monotonic() + seconds)
        return DONE

    def _arm(self, rank: State, order: _Report) -> int:
        wanted = (order['version'], order['step'])
        if rank.armed == wanted:
            return HELD_ALREADY
        is_prepared = rank.prepared and rank.prepared[0] == wanted[0]
        if not is_prepared or wanted[1] <= self.step:
            return MISFIT
        rank.armed = wanted
        return DONE

    def _hold(self, rank: State, order: _Report) -> int:
        if rank.held == order['step']:
            return HELD_ALREADY
        if rank.held is not None or order['step'] <= self.step:
            return MISFIT
        rank.held = order['step']
        return DONE


class RankAnswers:
    """What a rank answers; it may send the answer to an order twice."""

    def __init__(self, group: Group, number: int) -> None:
        """Answer for one rank of a group."""
        self.spoils = False
        self.given = 0
        self.extras = 0
        self._group = group
        self._number = number
        # Answers to be sent once more when that to the next order is expected.
        self._due: dict[asyncio.StreamWriter, bytes] = {}

    async def answer(
        self,
        served_by: replica.Replica,
        request: web.Message,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a report, counts, an order or a request of a client."""
        path = request.target.partition('?')[0]
        self.given += 1
        if path not in {REPORT, PICKED, ORDER}:
            return await self._stream(served_by, request, writer)
        served_by.ran.pop()
        if path == ORDER and writer in self._due:
            self.extras += 1
            writer.write(self._due.pop(writer))
        answer = self._to_call(path, request)
        writer.write(answer)
        if self.spoils and b'"prepare"' in request.body and self._has_room():
            self._due[writer] = answer
        await writer.drain()
        return True

    def _has_room(self) -> bool:
        twice = self.extras + len(self._due) + 1
        return twice <= SPOILED_SHARE * self.given

    def _to_call(self, path: str, request: web.Message) -> bytes:
        status, body = web.OK, {}
        if path == REPORT:
            body = self._group.report(self._number)
        elif path == PICKED:
            lists = 'lists' in request.target
            body = self._group.picked(self._number, lists=lists)
        else:
            status = self._group.order(self._number, json.loads(request.body))
        encoded = json.dumps(body).encode()
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(encoded))),
        ]
        return web.encode(f'HTTP/1.1 {status} Status', headers, encoded)

    async def _stream(
        self,
        served_by: replica.Replica,
        request: web.Message,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = [
            ('Attempt-Id', request.get('Attempt-Id') or ''),
            ('Response-Signature', f'{served_by.name}.{len(served_by.ran)}'),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        rank = self._group.ranks[self._number]
        rank.streams += 1
        try:
            writer.write(web.encode('HTTP/1.1 200 OK', head))
            first = int(request.get('Last-Event-Id') or -1) + 1
            for number in range(first, EVENTS):
                await self._group.passed.wait()
                event = f'id: {number}\ndata: tokens\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
        finally:
            rank.streams -= 1
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


def _finish_copies(rank: State, now: float) -> None:
    if rank.copying is not None and now >= rank.copying[2]:
        rank.prepared = rank.copying[:2]
        rank.copying = None


def _switch(rank: State) -> None:
    rank.armed = None
    if rank.prepared is not None:
        rank.version = rank.prepared[0]
        rank.experts = rank.prepared[1]


def _disarm(rank: State, order: _Report) -> int:
    if rank.version == order['version']:
        return MISFIT
    rank.armed = None
    return DONE


def _go(rank: State, order: _Report) -> int:
    if rank.held == order['step']:
        rank.held = None
        return DONE
    return HELD_ALREADY if rank.held is None else MISFIT


def _count(rank: State, liked: int) -> None:
    """Count the choices of a pass: two experts of one rank are liked."""
    for place in range(SETS * EXPERTS):
        is_liked = place % EXPERTS % SIZE == liked
        rank.counts[place] += LIKED_TOKENS if is_liked else 1
