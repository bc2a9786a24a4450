"""Check a group's history against the promises of a map switch."""

from __future__ import annotations

import collections.abc

import attrs
import numpy

from bench.engines import step_history
from tamarackthread.agent import switch_record


@attrs.frozen
class Decided:
    """One decided switch: when its step ran and how long ranks held."""

    seconds: float
    held_ms: float
    committed: bool


@attrs.frozen
class Findings:
    """Count what the checker found.

    The first three must be 0, and after troubles are over so must
    ``undecided``, the switches without an outcome.
    """

    mixed_map_steps: int
    unrecorded_map_steps: int
    stale_orders_run: int
    switches: int
    aborted: int
    undecided: int
    decided: tuple[Decided, ...]
    steps: int
    orders: int

    @property
    def held_ms(self) -> tuple[float, ...]:
        """Return the hold of each decided switch."""
        return tuple(one.held_ms for one in self.decided)


def check(
    history: step_history.History,
    records: collections.abc.Sequence[switch_record.SwitchRecord],
    initial: str,
) -> Findings:
    """Check every step and order."""
    decided = [record for record in records if not record.is_open]
    committed = [
        record
        for record in decided
        if record.stage is switch_record.Stage.COMMITTED
    ]
    mixed = sum(len(set(step.maps)) > 1 for step in history.steps)
    return Findings(
        mixed_map_steps=mixed,
        unrecorded_map_steps=_unrecorded(history.steps, committed, initial),
        stale_orders_run=_stale(history.orders),
        switches=len(committed),
        aborted=len(decided) - len(committed),
        undecided=len({one.number for one in records}) - len(decided),
        decided=_decided(history.steps, decided),
        steps=len(history.steps),
        orders=len(history.orders),
    )


def percentile(held_ms: tuple[float, ...], part: float) -> float:
    """Return a quantile of the holds in ms, 0 without any."""
    if not held_ms:
        return 0
    return round(float(numpy.quantile(held_ms, part)), 3)


def _unrecorded(
    steps: list[step_history.Step],
    committed: list[switch_record.SwitchRecord],
    initial: str,
) -> int:
    """Count steps in which a rank used a map that control never decided."""
    wrong = 0
    for step in steps:
        expected = initial
        for record in committed:
            if step.number >= record.from_step:
                expected = record.target
        wrong += set(step.maps) != {expected}
    return wrong


def _stale(orders: list[step_history.Executed]) -> int:
    """Count orders that ran after one with a higher number did.

    Orders of one group are compared across its ranks: the new owner begins
    only when no order of the old one can run anywhere any more.
    """
    highest = 0
    stale = 0
    for executed in sorted(orders, key=lambda order: order.time):
        stale += executed.fence < highest
        highest = max(highest, executed.fence)
    return stale


def _decided(
    steps: list[step_history.Step],
    records: list[switch_record.SwitchRecord],
) -> tuple[Decided, ...]:
    ran = {step.number: step for step in steps}
    found = []
    for record in records:
        step = ran.get(record.from_step)
        if step is None:
            continue
        committed = record.stage is switch_record.Stage.COMMITTED
        found.append(Decided(step.started, step.held * 1000, committed))
    return tuple(found)
