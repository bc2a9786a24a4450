"""Read the subscribers' logs and judge each accepted change by them."""

from __future__ import annotations

import bisect
import collections
import collections.abc
import json
import pathlib
import statistics

import attrs


@attrs.frozen
class Moment:
    """What a node held from a time on."""

    at: float
    revision: int
    works: bool


@attrs.frozen
class Accepted:
    """An accepted change with its times on the machine's clock."""

    revision: int
    asked_at: float
    accepted_at: float
    phase: int


@attrs.frozen
class Span:
    """The time of one fault."""

    began_at: float
    ended_at: float


class Journal:
    """Hold the moments of each node in the order of time."""

    def __init__(self, paths: collections.abc.Iterable[pathlib.Path]) -> None:
        """Read the logs."""
        self.moments: dict[str, list[Moment]] = collections.defaultdict(list)
        for path in paths:
            for line in path.read_text().splitlines():
                node, at, revision, works = json.loads(line)
                self.moments[node].append(Moment(at, revision, works))
        for moments in self.moments.values():
            moments.sort(key=lambda moment: moment.at)

    def reverts(self) -> int:
        """Count the times that a node took work below what it had before."""
        count = 0
        for moments in self.moments.values():
            highest = 0
            for moment in moments:
                if not moment.works:
                    continue
                count += moment.revision < highest
                highest = max(highest, moment.revision)
        return count

    def lapsed(self, span: Span) -> list[str]:
        """List the nodes that could take no work at some time in a span."""
        return [
            node
            for node, moments in self.moments.items()
            if any(
                span.began_at < moment.at < span.ended_at and not moment.works
                for moment in moments
            )
        ]

    def in_force_at(self, change: Accepted) -> float:
        """Tell when no node took work any more without the change."""
        last = change.accepted_at
        for moments in self.moments.values():
            last = max(last, _settled(moments, change))
        return last


def _settled(moments: list[Moment], change: Accepted) -> float:
    start = bisect.bisect_right(
        moments,
        change.accepted_at,
        key=lambda moment: moment.at,
    )
    held = moments[start - 1] if start else None
    last = change.accepted_at
    for following in moments[start:]:
        if held is not None and held.works and held.revision < change.revision:
            last = following.at
        if held is not None and held.revision >= change.revision:
            break
        held = following
    return last


def percentile(figures: collections.abc.Sequence[float], share: float) -> float:
    """Give a percentile in milliseconds of figures in seconds."""
    if not figures:
        return -1
    ordered = sorted(figures)
    place = min(int(len(ordered) * share), len(ordered) - 1)
    return round(ordered[place] * 1000, 1)


def median(figures: collections.abc.Sequence[float]) -> float:
    """Give the median, or -1 of nothing."""
    return statistics.median(figures) if figures else -1
