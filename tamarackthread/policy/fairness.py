"""Share a queue among organisations by start-time fair queueing."""

from __future__ import annotations

import abc
import bisect
import itertools
import typing

import attrs

_MAX_IDLE_FLOWS = 4096

_Item = typing.TypeVar('_Item')


class Shares(abc.ABC):
    """Provide the fair-queueing weights of organisations."""

    @abc.abstractmethod
    def weight(self, organisation: str) -> float:
        """Return the organisation's weight; its share is proportional."""


class EqualShares(Shares):
    """Give every organisation the same share."""

    def weight(self, organisation: str) -> float:
        """Return 1."""
        return 1


@attrs.define(slots=True, eq=False)
class Entry(typing.Generic[_Item]):
    """A queued item; ``cost`` is in units of one plain call."""

    item: _Item
    flow: str
    rank: int
    cost: float
    sequence: int = 0
    removed: bool = False

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return the sort key within the flow."""
        return self.rank, self.sequence


@attrs.define(slots=True, eq=False)
class _Flow(typing.Generic[_Item]):
    start: float
    weight: float
    entries: list[Entry[_Item]] = attrs.field(factory=list)
    backlog: float = 0

    def cost_before(self, rank: int) -> float:
        """Return the cost queued ahead of a new item of that rank."""
        return sum(entry.cost for entry in self.entries if entry.rank <= rank)


class FairQueue(typing.Generic[_Item]):
    """Queue the items of many flows and serve the lowest start tag first."""

    def __init__(self, credit: float = 0) -> None:
        """Start empty; ``credit`` is the cost at weight 1 to catch up by."""
        # Without credit, a small flow with three calls at once would wait three
        # turns although it is far under its share.
        self._credit = credit
        self._sequence = itertools.count()
        self._flows: dict[str, _Flow[_Item]] = {}
        self._last_tags: dict[str, float] = {}
        self._virtual_time: float = 0
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
        queued = self._flows.get(flow)
        return len(queued.entries) if queued else 0

    def push(self, entry: Entry[_Item], weight: float) -> None:
        """Add an item behind those of its flow with the same rank."""
        flow = self._flows.get(entry.flow)
        if flow is None:
            flow = _Flow(start=self._start_tag(entry.flow), weight=weight)
            self._flows[entry.flow] = flow
        entry.sequence = next(self._sequence)
        bisect.insort(flow.entries, entry, key=_sort_key)
        flow.backlog += entry.cost
        self._length += 1
        self._backlog += entry.cost

    def head(self) -> Entry[_Item] | None:
        """Return the next item without removing it."""
        if not self._flows:
            return None
        return min(self._flows.values(), key=_start).entries[0]

    def first(self, count: int) -> list[Entry[_Item]]:
        """List the next items in the order of service."""
        tagged = []
        for flow in self._flows.values():
            tag = flow.start
            for entry in flow.entries[:count]:
                tagged.append((tag, entry.sequence, entry))
                tag += entry.cost / flow.weight
        tagged.sort()
        return [row[2] for row in tagged[:count]]

    def dequeue(self, entry: Entry[_Item]) -> None:
        """Remove an item that is served and charge its flow."""
        flow = self._flows[entry.flow]
        lowest = min(other.start for other in self._flows.values())
        self._virtual_time = max(self._virtual_time, lowest)
        flow.start += entry.cost / flow.weight
        self._last_tags[entry.flow] = flow.start
        self.remove(entry)
        self._evict_idle()
        if not self._length:
            self._reset()

    def remove(self, entry: Entry[_Item]) -> None:
        """Remove an item that isn't served, at no charge; idempotent."""
        if entry.removed:
            return
        entry.removed = True
        flow = self._flows[entry.flow]
        index = bisect.bisect_left(flow.entries, entry.sort_key, key=_sort_key)
        flow.entries.pop(index)
        flow.backlog -= entry.cost
        self._length -= 1
        self._backlog -= entry.cost
        if not flow.entries:
            self._flows.pop(entry.flow)

    def cost_ahead(self, flow: str, weight: float, rank: int) -> float:
        """Return the cost served before a new item of the flow."""
        queued = self._flows.get(flow)
        own = queued.cost_before(rank) if queued else 0
        start = queued.start if queued else self._start_tag(flow)
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
        queued = self._flows.get(flow)
        if queued is None:
            return 0
        return sum(entry.cost for entry in queued.entries if entry.rank == rank)

    def share(self, flow: str, weight: float) -> float:
        """Return the share, from 0 to 1, of a flow while all flows wait."""
        total = weight
        for name, other in self._flows.items():
            if name != flow:
                total += other.weight
        return weight / total

    def _start_tag(self, flow: str) -> float:
        earliest = self._virtual_time - self._credit
        return max(earliest, self._last_tags.get(flow, earliest))

    def _evict_idle(self) -> None:
        if len(self._last_tags) < _MAX_IDLE_FLOWS:
            return
        earliest = self._virtual_time - self._credit
        for flow in list(self._last_tags):
            if self._last_tags[flow] <= earliest:
                self._last_tags.pop(flow)

    def _reset(self) -> None:
        """Reset the virtual time of an empty queue."""
        self._last_tags.clear()
        self._backlog = 0
        self._virtual_time = 0


def _sort_key(entry: Entry) -> tuple[int, int]:
    return entry.sort_key


def _start(flow: _Flow) -> float:
    return flow.start
