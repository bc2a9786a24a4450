"""Share a queue fairly among organisations.

Start-time fair queueing: each flow, an organisation, has a start tag in
virtual time, and the flow with the lowest tag is served next.  One that sends
ten times its share waits behind its own calls, and nobody else does.  Within
a flow a lower rank goes first.
"""

from __future__ import annotations

import abc
import bisect
import itertools
import typing

import attrs

_MOST_REMEMBERED = 4096

_Item = typing.TypeVar('_Item')


class Shares(abc.ABC):
    """Say how much of a service belongs to each organisation."""

    @abc.abstractmethod
    def weight(self, organisation: str) -> float:
        """Return the organisation's weight; twice as much is twice the share."""


class EqualShares(Shares):
    """Give every organisation the same share."""

    def weight(self, organisation: str) -> float:
        """Return 1."""
        return 1


@attrs.define(slots=True, eq=False)
class Entry(typing.Generic[_Item]):
    """One queued item; ``cost`` is in units of one plain call."""

    item: _Item
    flow: str
    rank: int
    cost: float
    sequence: int = 0
    removed: bool = False

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return what orders the item within its flow."""
        return self.rank, self.sequence


@attrs.define(slots=True, eq=False)
class _Flow(typing.Generic[_Item]):
    start: float
    weight: float
    entries: list[Entry[_Item]] = attrs.field(factory=list)
    backlog: float = 0

    def cost_before(self, rank: int) -> float:
        """Return the cost queued in front of a new item of that rank."""
        return sum(entry.cost for entry in self.entries if entry.rank <= rank)


class FairQueue(typing.Generic[_Item]):
    """Queue items of many flows and serve them by weight.

    Choosing the next flow costs a pass over the flows that wait.  They are
    bounded by the queue's length, and only served items pay for it.
    """

    def __init__(self, credit: float = 0) -> None:
        """Start empty at virtual time 0.

        A flow that used less than its share may catch up by ``credit``, the
        cost at weight 1.  Without it, a small flow with three calls at once
        waits three turns although it is far under its share.
        """
        self._credit = credit
        self._order = itertools.count()
        self._flows: dict[str, _Flow[_Item]] = {}
        self._used: dict[str, float] = {}
        self._virtual: float = 0
        self._length = 0
        self._backlog: float = 0

    def __len__(self) -> int:
        """Count the queued items."""
        return self._length

    @property
    def backlog(self) -> float:
        """Return the cost of all queued items."""
        return self._backlog

    def flow_length(self, flow: str) -> int:
        """Count the queued items of one flow."""
        known = self._flows.get(flow)
        return len(known.entries) if known else 0

    def push(self, entry: Entry[_Item], weight: float) -> None:
        """Add an item behind those of its flow with the same rank."""
        flow = self._flows.get(entry.flow)
        if flow is None:
            flow = _Flow(start=self._start(entry.flow), weight=weight)
            self._flows[entry.flow] = flow
        entry.sequence = next(self._order)
        bisect.insort(flow.entries, entry, key=_place)
        flow.backlog += entry.cost
        self._length += 1
        self._backlog += entry.cost

    def head(self) -> Entry[_Item] | None:
        """Return the next item without taking it."""
        if not self._flows:
            return None
        return min(self._flows.values(), key=_start).entries[0]

    def first(self, count: int) -> list[Entry[_Item]]:
        """List the next items in the order in which they'd be served."""
        tagged = []
        for flow in self._flows.values():
            tag = flow.start
            for entry in flow.entries[:count]:
                tagged.append((tag, entry.sequence, entry))
                tag += entry.cost / flow.weight
        tagged.sort()
        return [row[2] for row in tagged[:count]]

    def dequeue(self, entry: Entry[_Item]) -> None:
        """Take an item to serve it, which its flow pays for."""
        flow = self._flows[entry.flow]
        lowest = min(other.start for other in self._flows.values())
        self._virtual = max(self._virtual, lowest)
        flow.start += entry.cost / flow.weight
        self._used[entry.flow] = flow.start
        self.remove(entry)
        self._tidy()
        if not self._length:
            self._restart()

    def remove(self, entry: Entry[_Item]) -> None:
        """Take an item out unserved, which its flow doesn't pay for."""
        if entry.removed:
            return
        entry.removed = True
        flow = self._flows[entry.flow]
        place = bisect.bisect_left(flow.entries, entry.sort_key, key=_place)
        flow.entries.pop(place)
        flow.backlog -= entry.cost
        self._length -= 1
        self._backlog -= entry.cost
        if not flow.entries:
            self._flows.pop(entry.flow)

    def cost_ahead(self, flow: str, weight: float, rank: int) -> float:
        """Return the cost that is served before a new item of the flow."""
        known = self._flows.get(flow)
        own = known.cost_before(rank) if known else 0
        start = known.start if known else self._start(flow)
        start += own / weight
        total = own
        for name, other in self._flows.items():
            if name == flow:
                continue
            until = other.weight * (start - other.start)
            total += min(other.backlog, max(0, until))
        return total

    def rank_cost(self, flow: str, rank: int) -> float:
        """Return the cost of a flow's queued items of one rank."""
        known = self._flows.get(flow)
        if known is None:
            return 0
        return sum(entry.cost for entry in known.entries if entry.rank == rank)

    def share(self, flow: str, weight: float) -> float:
        """Return the part, from 0 to 1, that a flow gets while all wait."""
        total = weight
        for name, other in self._flows.items():
            if name != flow:
                total += other.weight
        return weight / total

    def _start(self, flow: str) -> float:
        earliest = self._virtual - self._credit
        return max(earliest, self._used.get(flow, earliest))

    def _tidy(self) -> None:
        if len(self._used) < _MOST_REMEMBERED:
            return
        earliest = self._virtual - self._credit
        for flow in list(self._used):
            if self._used[flow] <= earliest:
                self._used.pop(flow)

    def _restart(self) -> None:
        """Let an idle queue forget, so that past use costs nobody later."""
        self._used.clear()
        self._backlog = 0
        self._virtual = 0


def _place(entry: Entry) -> tuple[int, int]:
    return entry.sort_key


def _start(flow: _Flow) -> float:
    return flow.start
