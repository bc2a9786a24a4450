"""Know the targets of each service and choose one for a call."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import contextlib
import logging
import random

import attrs

from tamarackthread.shared import log_events
from tamarackthread.shared.site import announcements, figures

State = announcements.State

# A target without any word for so many beats counts as silent even if no
# control host says so: the host that heard it last may be gone itself.
BEATS_UNHEARD = 7
# After so many beats every target has announced itself, one beat being lost.
BEATS_TO_WARM = 2.2
# Calls that an entry which has just started has at one target.  Others start
# with it, and together they fill the few that are known by then: of seven, each
# may have one call at a target with six places.
WARM_CALLS = 1
# A call waits for a calmer target for so long at most: half of a beat brings
# some, and most aims are twice this.
CALM_SECONDS = 0.2
# Time out of the choice after a connection could not be made, doubled up to
# the most: a restart takes about a second, a cut some seconds.
FIRST_PAUSE_SECONDS = 0.3
MOST_PAUSE_SECONDS = 4.0
# A rank that takes so many times its usual time slows its whole group; the usual
# spread of ranks is under 1.2.
SLOW_PACE = 1.5
# Below this share of swift ranks, the others have not the places for all calls.
SWIFT_SHARE = 0.5
# Used where neither announcement nor answer tells how many run at once.
ASSUMED_SLOTS = 6
SWEEP_SECONDS = 0.5
_log = logging.getLogger('tamarackthread.entry')


@attrs.define(eq=False)
class Target:
    """Be one start of a target as this entry sees it.

    ``own`` counts this entry's calls there and ``others`` those that other
    entries told of.  A ``pace`` of 2 means that it takes twice its usual time.
    """

    said: announcements.Announcement
    heard_at: float
    own: int = 0
    others: int = 0
    paused_until: float = 0
    pause: float = 0
    pace: float = 1

    @property
    def name(self) -> str:
        """Return the name of this start of the target."""
        return self.said.target

    @property
    def slots(self) -> int:
        """Return how many calls the target runs at once."""
        return self.said.slots or ASSUMED_SLOTS

    @property
    def load(self) -> float:
        """Return what one call more would make of the target's load.

        Ranks advance together, so a slow one holds up all calls of its group
        by what it has to do itself: at twice the time it gets half the calls.
        """
        return (self.own + self.others + 1) * self.pace / self.slots

    def is_ready(self, now: float) -> bool:
        """Tell whether the target is surely up."""
        return self.said.state == State.READY and self.paused_until <= now

    def failed(self, now: float) -> None:
        """Keep calls away for a while after one could not be delivered."""
        doubled = min(MOST_PAUSE_SECONDS, 2 * self.pause)
        self.pause = max(FIRST_PAUSE_SECONDS, doubled)
        self.paused_until = now + self.pause

    def answered(self) -> None:
        """Note that the target has answered."""
        self.pause = 0
        self.paused_until = 0


class Targets:
    """Hold all targets that were announced."""

    def __init__(
        self,
        zone: str,
        beat_seconds: float,
        generator: random.Random,
    ) -> None:
        """Start without targets; ``zone`` is this entry's own.

        Must be called from within a running loop.
        """
        self._zone = zone
        self._beat = beat_seconds
        self._unheard = beat_seconds * BEATS_UNHEARD
        self._started_at = asyncio.get_running_loop().time()
        self._random = generator
        self._arrived = asyncio.Event()
        self._by_name: dict[str, Target] = {}
        self._paces: dict[str, dict[str, float]] = {}
        # In the order of their first announcement: a set's order differs from
        # process to process, and with it the choice among equals.
        self._by_service: dict[str, dict[str, None]] = collections.defaultdict(
            dict
        )

    def take(self, said: announcements.Announcement) -> None:
        """Take an announcement unless a later one is held."""
        now = asyncio.get_running_loop().time()
        held = self._by_name.get(said.target)
        if held is None:
            self._add(said, now)
            return
        if not said.follows(held.said):
            return
        if said.state != held.said.state:
            _tell(attrs.evolve(held.said, state=said.state))
        held.heard_at = now
        if said.state == State.GONE:
            said = attrs.evolve(held.said, state=State.GONE)
        held.said = said

    def slow(self, source: str, paces: dict[str, float]) -> None:
        """Take the slow targets that one control host knows of.

        Only the owner of a group knows them; what a former owner has said
        ends within seconds, and until then the slower word counts.
        """
        self._paces[source] = paces
        for target in self._by_name.values():
            told = [held.get(target.name, 1) for held in self._paces.values()]
            target.pace = max(told)

    def get(self, name: str) -> Target | None:
        """Return a start of a target."""
        return self._by_name.get(name)

    def gone(self, target: Target) -> None:
        """Note that another start of a target answers at the address."""
        target.said = attrs.evolve(target.said, state=State.GONE)
        _tell(target.said)

    def of_service(self, service: str) -> list[Target]:
        """List the targets of a service, usable or not."""
        return [
            self._by_name[name] for name in self._by_service.get(service, ())
        ]

    def choose(
        self,
        service: str,
        tried: collections.abc.Collection[str],
    ) -> Target | None:
        """Choose the least loaded target, in the own zone among equals.

        Without one that is surely up, one that has fallen silent or refused
        a connection may still answer, and a try costs the caller less than a
        refusal.
        """
        now = asyncio.get_running_loop().time()
        usable = [
            target
            for target in self.of_service(service)
            if target.name not in tried and not target.said.is_leaving
        ]
        ready = [target for target in usable if target.is_ready(now)]
        if ready:
            return min(_swift(ready), key=self._rank)
        return min(usable, key=_paused_until, default=None)

    async def run(self) -> None:
        """Sweep for ever."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep()

    async def arrival(
        self,
        service: str,
        tried: collections.abc.Collection[str],
        seconds: float,
    ) -> None:
        """Wait for a target that was not tried, while more may be announced.

        A process that has just started knows the targets one by one, as each
        announces itself within a beat.  Calls that all go to the first ones
        are refused by them, though there is room at the others, and each
        refusal uses up a try that the budget allows.
        """
        loop = asyncio.get_running_loop()
        warm_at = self._started_at + self._beat * BEATS_TO_WARM
        began = loop.time()
        until = min(began + seconds, warm_at)
        while loop.time() < until and not self._has_calm(service, tried):
            if self.choose(service, tried) is not None:
                until = min(until, began + CALM_SECONDS)
            arrived = self._arrived
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until):
                    await arrived.wait()

    def _has_calm(
        self,
        service: str,
        tried: collections.abc.Collection[str],
    ) -> bool:
        """Tell whether a target is known that others hardly can have filled."""
        found = self.choose(service, tried)
        return found is not None and found.own < WARM_CALLS

    def sweep(self) -> None:
        """Mark targets that nobody has spoken of for long."""
        now = asyncio.get_running_loop().time()
        for name, target in tuple(self._by_name.items()):
            quiet = now - target.heard_at
            if target.said.is_leaving and quiet > self._unheard * 4:
                self._forget(name)
                continue
            if target.said.state != State.READY or quiet < self._unheard:
                continue
            target.said = attrs.evolve(target.said, state=State.SILENT)
            _tell(target.said)
        self._count()

    def _count(self) -> None:
        figures.TARGETS.clear()
        for service in self._by_service:
            for target in self.of_service(service):
                state = target.said.state.name.lower()
                figures.TARGETS.labels(service, state).inc()

    def _add(self, said: announcements.Announcement, now: float) -> None:
        self._by_name[said.target] = Target(said, now)
        if said.service:
            self._by_service[said.service][said.target] = None
            self._arrived.set()
            self._arrived = asyncio.Event()
        _tell(said)

    def _forget(self, name: str) -> None:
        gone = self._by_name.pop(name)
        self._by_service[gone.said.service].pop(name, None)

    def _rank(self, target: Target) -> tuple[float, bool, float]:
        is_far = target.said.zone != self._zone
        return target.load, is_far, self._random.random()


def _swift(ready: list[Target]) -> list[Target]:
    """Leave slow ranks out, unless they are too many.

    Ranks advance together, so one call at a slow rank slows the calls of all
    ranks, while a rank without calls holds up nobody by its own work.
    """
    found = [target for target in ready if target.pace < SLOW_PACE]
    return found if len(found) >= SWIFT_SHARE * len(ready) else ready


def _paused_until(target: Target) -> float:
    return target.paused_until


def _tell(said: announcements.Announcement) -> None:
    log_events.tell(
        _log,
        log_events.Event.TARGET,
        'entry: target %s of %s at %s is %s',
        said.target,
        said.service,
        said.address,
        said.state.name.lower(),
        target=said.target,
        service=said.service,
        state=said.state.name.lower(),
        sequence=said.sequence,
    )
