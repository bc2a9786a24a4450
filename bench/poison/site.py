"""Simulate entries whose calls crash targets, on virtual time."""

from __future__ import annotations

import asyncio
import collections.abc
import random

import attrs

from tamarackthread.control.site import loads
from tamarackthread.entry.direct import (
    call_progress,
    calls,
    failures,
    instances,
    load_exchange,
    poison_requests,
    target_client,
    targets,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors
from tamarackthread.shared.site import announcements, configuration

TICK_SECONDS = 0.1
EXCHANGE_SECONDS = 0.2
PREFILL_SECONDS = 0.2
ANSWER_SECONDS = 0.8
RESTART_SECONDS = 3.0
# After a crash the other ranks of the group cut their calls, and open later.
STALL_SECONDS = 1.5
FORM_SECONDS = 0.6
SLOTS = 6


SERVICE = 's'
TIMEOUT_SECONDS = 8.0
_ROUTE = configuration.Route(
    name='r',
    host='h',
    prefix='/',
    kind=configuration.RouteKind.STREAM,
    shares=(configuration.TrafficShare(SERVICE, 1),),
    timeout=TIMEOUT_SECONDS,
    latency_goal=0.5,
)


@attrs.frozen
class Crash:
    """The crash of a target by a part, or by none."""

    at: float
    part: str


@attrs.frozen
class Arrival:
    """A call with a bad part that reached a target."""

    at: float
    entry: str
    part: str


@attrs.define
class SoundCall:
    """What became of a sound call."""

    at: float
    was_blamed: bool = False
    has_begun: bool = False


class Links:
    """The links of one entry to control hosts."""

    def __init__(self, name: str, hosts: dict[str, loads.Loads]) -> None:
        """Reach all hosts but those in ``cut``."""
        self.cut: set[str] = set()
        self._name = name
        self._hosts = hosts

    async def request(
        self, address: str, request: messages.Request, seconds: float
    ) -> messages.Reply:
        """Ask a host as an entry does."""
        await asyncio.sleep(0.001)
        if address in self.cut:
            raise errors.FrameInvalid('cut')
        reply = self._hosts[address].answer(self._name, request.site_load)
        return messages.Reply(site_load=reply)


@attrs.define(eq=False)
class Entry:
    """An entry's part that knows of crashes, with its link to the hosts."""

    name: str
    poison: poison_requests.PoisonRequests
    links: Links
    exchange: load_exchange.LoadExchange


@attrs.define(eq=False)
class Running:
    """A call at a target."""

    entry: Entry
    call: calls.Call
    target: instances.TargetInstance
    begins_at: float
    # The part that crashes the target, empty for a sound call.
    bad_part: str
    outcome: SoundCall
    has_begun: bool = False


@attrs.define(eq=False)
class Site:
    """Entries, control hosts and targets; ``is_group`` if in lockstep."""

    rng: random.Random
    is_group: bool = False
    targets: int = 12
    entries: list[Entry] = attrs.field(factory=list)
    hosts: dict[str, loads.Loads] = attrs.field(factory=dict)
    up: dict[str, instances.TargetInstance] = attrs.field(factory=dict)
    running: list[Running] = attrs.field(factory=list)
    crashes: list[Crash] = attrs.field(factory=list)
    # Calls with a bad part that reached targets.
    arrivals: list[Arrival] = attrs.field(factory=list)
    sound: list[SoundCall] = attrs.field(factory=list)
    closed_until: float = 0
    exchanged_at: float = 0
    _calls: int = 0
    _starts: int = 0

    def open(self, entries: int = 6) -> None:
        """Start targets, control hosts and entries."""
        self.hosts.update(h0=loads.Loads(1), h1=loads.Loads(2))
        for number in range(self.targets):
            self.start(f't{number}')
        for number in range(entries):
            self.entries.append(self.new_entry(f'e{number}'))

    def new_entry(self, name: str) -> Entry:
        """Start an entry that knows nothing yet."""
        links = Links(name, self.hosts)
        poison = poison_requests.PoisonRequests(
            name, lambda target: False, self._is_down
        )
        exchange = load_exchange.LoadExchange(
            targets.Targets('z', 1.0, self.rng),
            links,
            lambda: tuple(self.hosts),
            lambda: [entry.name for entry in self.entries],
            lambda: None,
            poison,
        )
        return Entry(name, poison, links, exchange)

    def start(self, name: str) -> None:
        """Start a target anew."""
        self._starts += 1
        self.up[name] = instances.TargetInstance(
            announcements.Announcement(
                target=f'{name}-{self._starts}',
                service=SERVICE,
                address=f'{name}:80',
                born=self._starts,
            ),
            0,
        )

    def send(
        self,
        parts: collections.abc.Iterable[str],
        bad_part: str = '',
        service: str = SERVICE,
    ) -> None:
        """Send a new call through some entry."""
        now = asyncio.get_running_loop().time()
        self._calls += 1
        entry = self.rng.choice(self.entries)
        call = self._new_call(parts, service, now)
        outcome = SoundCall(now)
        if not bad_part:
            self.sound.append(outcome)
        try:
            entry.poison.check(call)
        except failures.CallCrashes:
            outcome.was_blamed = True
            return
        self._hand_over(entry, call, bad_part, outcome)

    def crash(
        self, target: instances.TargetInstance, now: float, part: str = ''
    ) -> None:
        """Take a target down, with all calls that run there."""
        name = target.announcement.address.partition(':')[0]
        self.up.pop(name)
        self.crashes.append(Crash(now, part))
        self._cut(
            [one for one in self.running if one.target is target],
        )
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_SECONDS, self.start, name)
        if self.is_group:
            opens_at = now + RESTART_SECONDS + FORM_SECONDS
            self.closed_until = max(self.closed_until, opens_at)
            loop.call_later(STALL_SECONDS, self._cut_others)

    def late_from(self, part: str, crashes: int) -> float:
        """Return when a part had crashed so many targets, or its last one."""
        found = [crash.at for crash in self.crashes if crash.part == part]
        return found[:crashes][-1]

    async def tick(self) -> None:
        """Go on by one step of all calls, and exchange what is known."""
        await asyncio.sleep(TICK_SECONDS)
        now = asyncio.get_running_loop().time()
        if now >= self.closed_until:
            for one in tuple(self.running):
                self._advance(one, now)
        if now < self.exchanged_at + EXCHANGE_SECONDS:
            return
        self.exchanged_at = now
        for entry in self.entries:
            await entry.exchange.exchange()

    def _new_call(
        self,
        parts: collections.abc.Iterable[str],
        service: str,
        now: float,
    ) -> calls.Call:
        return calls.Call(
            request=calls.CallRequest(
                call_id=str(self._calls),
                method='POST',
                host='h',
                path='/',
                headers=(),
                shared_parts=tuple(parts),
            ),
            body=str(self._calls).encode(),
            route=_ROUTE,
            service=service,
            organisation='',
            arrived_at=now,
            deadline=now + TIMEOUT_SECONDS,
        )

    def _hand_over(
        self, entry: Entry, call: calls.Call, bad_part: str, outcome: SoundCall
    ) -> None:
        now = call.arrived_at
        free = [
            target
            for target in self.up.values()
            if sum(one.target is target for one in self.running) < SLOTS
        ]
        # A closed group refuses calls without running them.
        if now < self.closed_until or not free:
            return
        if bad_part:
            self.arrivals.append(Arrival(now, entry.name, bad_part))
        target = self.rng.choice(free)
        begins_at = now + PREFILL_SECONDS * self.rng.uniform(0.5, 1.5)
        self.running.append(
            Running(entry, call, target, begins_at, bad_part, outcome)
        )

    def _advance(self, one: Running, now: float) -> None:
        if one not in self.running or now < one.begins_at:
            return
        if one.bad_part:
            self.crash(one.target, now, one.bad_part)
            return
        if not one.has_begun:
            one.has_begun = True
            one.outcome.has_begun = True
            one.entry.poison.note_begun(one.call)
        if now >= one.begins_at + ANSWER_SECONDS:
            one.entry.poison.note_whole(one.call)
            self.running.remove(one)

    def _cut(self, lost: collections.abc.Iterable[Running]) -> None:
        """Cut calls, whose entries see their connections end."""
        for one in lost:
            self.running.remove(one)
            progress = call_progress.CallProgress()
            progress.relayed_events = int(one.has_begun)
            one.entry.poison.note_failure(
                one.call,
                one.target,
                progress,
                target_client.Unanswered('closed'),
            )

    def _cut_others(self) -> None:
        self._cut(tuple(self.running))

    async def _is_down(self, address: str) -> bool:
        await asyncio.sleep(0.001)
        return address.partition(':')[0] not in self.up
