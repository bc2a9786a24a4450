"""Share a queue fairly among organisations.

Start-time fair queueing: each call gets a start tag in virtual time, and the
lowest tag goes first.  An organisation that sends ten times its share waits
behind its own calls and nobody else does.
"""

from __future__ import annotations

import abc
import heapq
import itertools
import typing

import attrs

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


class WeightedShares(Shares):
    """Give the weights from the configuration, 1 where none is set."""

    def __init__(self, weights: dict[str, float]) -> None:
        """Keep the weights by organisation; each must be above 0."""
        self._weights = weights

    def weight(self, organisation: str) -> float:
        """Return the organisation's weight."""
        return self._weights.get(organisation, 1)


@attrs.define(slots=True, eq=False)
class Entry(typing.Generic[_Item]):
    """Be one queued item; ``cost`` is in units of one plain call."""

    item: _Item
    flow: str
    start: float
    cost: float
    weight: float
    removed: bool = False


@attrs.define(slots=True)
class _Flow:
    finish: float = 0
    backlog: float = 0
    length: int = 0
    weight: float = 1


class FairQueue(typing.Generic[_Item]):
    """Queue items of many flows and serve them by weight."""

    def __init__(self) -> None:
        """Start empty at virtual time 0."""
        self._heap: list[tuple[float, int, Entry[_Item]]] = []
        self._order = itertools.count()
        self._flows: dict[str, _Flow] = {}
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
        return known.length if known else 0

    def push(
        self,
        item: _Item,
        flow: str,
        weight: float,
        cost: float,
    ) -> Entry[_Item]:
        """Add an item at the end of its flow."""
        known = self._flows.setdefault(flow, _Flow())
        start = max(self._virtual, known.finish)
        known.finish = start + cost / weight
        known.backlog += cost
        known.length += 1
        known.weight = weight
        entry = Entry(item, flow, start, cost, weight)
        heapq.heappush(self._heap, (start, next(self._order), entry))
        self._length += 1
        self._backlog += cost
        return entry

    def head(self) -> Entry[_Item] | None:
        """Return the next item without taking it."""
        while self._heap:
            entry = self._heap[0][2]
            if not entry.removed:
                return entry
            heapq.heappop(self._heap)
        return None

    def take(self, entry: Entry[_Item]) -> None:
        """Take an item to serve it, which moves virtual time on."""
        self._virtual = max(self._virtual, entry.start)
        self._drop(entry)
        if not self._length:
            self._restart()

    def remove(self, entry: Entry[_Item]) -> None:
        """Take an item out unserved and give its cost back to its flow."""
        if entry.removed:
            return
        flow = self._flows[entry.flow]
        flow.finish -= entry.cost / entry.weight
        self._drop(entry)

    def ahead(self, flow: str, weight: float) -> float:
        """Return the cost that is served before a new item of the flow."""
        known = self._flows.get(flow)
        start = max(self._virtual, known.finish if known else 0)
        total: float = 0
        for other in self._flows.values():
            until = other.weight * (start - self._virtual)
            total += min(other.backlog, until)
        return total

    def share(self, flow: str, weight: float) -> float:
        """Return the part, from 0 to 1, that a flow gets while all wait."""
        total = weight
        for name, other in self._flows.items():
            if other.length and name != flow:
                total += other.weight
        return weight / total

    def entries(self) -> list[Entry[_Item]]:
        """List the queued items in the order in which they'd be served."""
        return [row[2] for row in sorted(self._heap) if not row[2].removed]

    def _drop(self, entry: Entry[_Item]) -> None:
        entry.removed = True
        self._length -= 1
        self._backlog -= entry.cost
        flow = self._flows[entry.flow]
        flow.length -= 1
        flow.backlog -= entry.cost
        if not flow.length and flow.finish <= self._virtual:
            self._flows.pop(entry.flow)

    def _restart(self) -> None:
        """Let an idle queue forget, so that past use costs nobody later."""
        self._flows.clear()
        self._heap.clear()
        self._backlog = 0
        self._virtual = 0
