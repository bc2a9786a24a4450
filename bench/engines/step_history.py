"""Keep what a fake group did, for the checker."""

from __future__ import annotations

import attrs


@attrs.frozen
class Step:
    """One step as it was run; ``maps`` has a digest for each rank.

    ``held`` is how long a rank that could run it held for a decision.
    """

    number: int
    started: float
    maps: tuple[str, ...]
    held: float
    seconds: float


@attrs.frozen
class Executed:
    """One order as an engine executed it."""

    time: float
    rank: int
    fence: int
    action: str


@attrs.define
class History:
    """Keep what happened, for the checker."""

    steps: list[Step] = attrs.Factory(list)
    orders: list[Executed] = attrs.Factory(list)
