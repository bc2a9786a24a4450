"""Let calls wait here while the ranks of their group have enough of them.

The failure: demand shifts, and until the experts are even again each call takes
its group twice as long.  Ranks that are given every call then make passes longer
than callers take a pause for, all their streams are late, and what has piled up
keeps passes long for seconds after the map is even.  A call that waits here is
late alone, and those that can still be in time go first.
"""

from __future__ import annotations

import asyncio
import collections.abc
import math

import attrs

from tamarackthread.entry.direct import calls, failures, targets
from tamarackthread.policy import concurrency, outages
from tamarackthread.shared.site import configuration

# A call comes within one pass, its prompt is read in the next, at the end of which
# its first piece comes; and there is the way to the rank and back.
PASSES_TO_FIRST = 2.2
# An answer's usual length counts the last ones, the newest by this much.
NEWEST_SHARE = 0.1
# A call that is refused since it can't be answered in time gets no better answer
# for coming back at once.
RETRY_AFTER_SECONDS = 0.5

Entries = collections.abc.Callable[[], int]


@attrs.define(eq=False)
class _Waiting:
    """A call that waits; ``granted`` ends its wait."""

    call: calls.Call
    granted: asyncio.Future[None]


class Line:
    """Let the calls of one service wait for room at its ranks.

    Each entry knows all calls as of the last exchange with the others.  What is
    free is shared: an entry takes its part of it between two exchanges, and a
    place for each call of its own that ends.
    """

    def __init__(
        self,
        service: str,
        bound: concurrency.ConcurrencyLimit,
        known: targets.Targets,
        entries: Entries,
    ) -> None:
        """Bound the calls that ``known`` counts by ``bound``."""
        self._service = service
        self._bound = bound
        self._known = known
        self._entries = entries
        self._opening = outages.OutageDetector()
        self._waiting: list[_Waiting] = []
        self._part: float = 0
        self._answer_seconds: float = 0

    @property
    def bound(self) -> concurrency.ConcurrencyLimit:
        """Return what bounds the calls."""
        return self._bound

    @bound.setter
    def bound(self, fresh: concurrency.ConcurrencyLimit) -> None:
        self._bound = fresh

    def __len__(self) -> int:
        """Count the calls that wait."""
        return len(self._waiting)

    async def admit(self, call: calls.Call) -> None:
        """Wait until the ranks have room for a call.

        Raises ``NoRoomInTime`` as soon as an answer can't be whole in time.
        """
        if not self._waiting and self._takes_place():
            return
        loop = asyncio.get_running_loop()
        waiting = _Waiting(call, loop.create_future())
        self._waiting.append(waiting)
        try:
            async with asyncio.timeout_at(call.deadline - self._answer_seconds):
                await waiting.granted
        except TimeoutError as exc:
            raise failures.NoRoomInTime(
                retry_after=RETRY_AFTER_SECONDS
            ) from exc
        finally:
            self._waiting.remove(waiting)

    def answered(self, seconds: float) -> None:
        """Note that a call was answered so long after it had been sent."""
        if not self._answer_seconds:
            self._answer_seconds = seconds
        self._answer_seconds += NEWEST_SHARE * (seconds - self._answer_seconds)

    def left(self) -> None:
        """Note that a call of this entry has left its rank."""
        if 0 < self._free() < math.inf:
            self._part += 1
        self._grant()

    @property
    def is_closed(self) -> bool:
        """Tell whether targets have only refused calls of late."""
        return self._opening.is_down(asyncio.get_running_loop().time())

    def heard(self) -> None:
        """Note that a target has sent a piece of an answer."""
        self._opening.record_output(asyncio.get_running_loop().time())

    def refused(self, target: str) -> None:
        """Note that a target has refused a call unrun."""
        self._opening.record_refusal(target, asyncio.get_running_loop().time())

    def note_pause(self, seconds: float) -> None:
        """Take the time between two pieces of an answer."""
        self._bound.record_pass(seconds, asyncio.get_running_loop().time())

    def share(self) -> None:
        """Take this entry's part of what is free, after an exchange.

        Who has no call that waits leaves its part unused, so that each takes
        one place at least; together they are over the bound by no more than
        one for each entry, and only until the next exchange.

        An entry without a call has seen no pass of late.  It may have one in any
        case: else it could not learn that there is room.
        """
        crowd = self._crowd()
        free = self._free_of(crowd)
        self._part = 0 if crowd.own else 1
        if 0 < free < math.inf:
            self._part = max(1, free / max(1, self._entries()))
        self._grant()

    def _crowd(self) -> concurrency.GroupLoad:
        return self._known.crowd(self._service, self._entries())

    def _free(self) -> float:
        """Return how many calls more the ranks may have."""
        return self._free_of(self._crowd())

    def _free_of(self, crowd: concurrency.GroupLoad) -> float:
        now = asyncio.get_running_loop().time()
        return self._bound.max_calls(crowd, now) - crowd.calls

    def _takes_place(self) -> bool:
        if math.isinf(self._free()):
            return True
        if self._part < 1:
            return False
        self._part -= 1
        return True

    def _grant(self) -> None:
        """Let calls go as long as there is room, those in time first."""
        now = asyncio.get_running_loop().time()
        lead = PASSES_TO_FIRST * self._bound.median_pass(now)
        rows = [row for row in self._waiting if not row.granted.done()]
        rows.sort(key=lambda row: _urgency(row.call, now + lead))
        for row in rows:
            if not self._takes_place():
                return
            row.granted.set_result(None)


class Admission:
    """Hold a line for each service whose targets advance together."""

    def __init__(
        self,
        known: targets.Targets,
        entries: Entries,
    ) -> None:
        """Begin without a service."""
        self._known = known
        self._entries = entries
        self._lines: dict[str, Line] = {}
        self._held: dict[str, tuple[configuration.Passes, float]] = {}

    def learn(self, held: configuration.Configuration) -> None:
        """Take what a configuration tells of services and their callers."""
        for service in held.services:
            if service.passes is None:
                continue
            found = (service.passes, held.gap_of(service.name))
            if not found[1] or self._held.get(service.name) == found:
                continue
            self._held[service.name] = found
            self._bind(
                service.name,
                concurrency.LatencyLimit(found[1], service.passes.empty),
            )

    def _bind(self, service: str, bound: concurrency.ConcurrencyLimit) -> None:
        """Bound the calls of a service; those that wait stay in their line."""
        line = self._lines.get(service)
        if line is not None:
            line.bound = bound
            return
        self._lines[service] = Line(service, bound, self._known, self._entries)

    async def admit(self, call: calls.Call) -> None:
        """Wait until the targets of a call have room for it."""
        line = self._lines.get(call.service)
        if line is not None:
            await line.admit(call)

    def answered(self, call: calls.Call, seconds: float) -> None:
        """Note that a call was answered so long after it had been sent."""
        line = self._lines.get(call.service)
        if line is not None:
            line.answered(seconds)

    def left(self, call: calls.Call) -> None:
        """Note that a call has left its target."""
        line = self._lines.get(call.service)
        if line is not None:
            line.left()

    def heard(self, call: calls.Call) -> None:
        """Note that a target has sent a piece of an answer."""
        line = self._lines.get(call.service)
        if line is not None:
            line.heard()

    def refused(self, call: calls.Call, target: str) -> None:
        """Note that a target has refused a call unrun."""
        line = self._lines.get(call.service)
        if line is not None:
            line.refused(target)

    def is_closed(self, call: calls.Call) -> bool:
        """Tell whether the targets of a call make no passes now."""
        line = self._lines.get(call.service)
        return line is not None and line.is_closed

    def note_pause(self, call: calls.Call, seconds: float) -> None:
        """Take the time between two pieces of a call's answer."""
        line = self._lines.get(call.service)
        if line is not None:
            line.note_pause(seconds)

    def share(self) -> None:
        """Share what is free, after an exchange with the other entries."""
        for line in self._lines.values():
            line.share()


def _urgency(call: calls.Call, first_at: float) -> tuple[bool, int, float]:
    """Rank calls: those that can be in time, the urgent, the oldest first.

    Where not all can be in time, going by age alone makes all of them late.
    """
    aim_at = call.arrived + call.route.aim
    return first_at > aim_at, call.priority, aim_at
