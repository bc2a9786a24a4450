"""Simulate entries whose calls crash targets, on virtual time."""

import asyncio
import random

import attrs

from tamarackthread.control.site import loads
from tamarackthread.entry.direct import (
    call_progress,
    failures,
    instances,
    load_exchange,
    poison_requests,
    target_client,
)
from tamarackthread.shared.site import announcements
from tests import test_admission_control, test_load_exchange

TICK_SECONDS = 0.1
EXCHANGE_SECONDS = 0.2
PREFILL_SECONDS = 0.2
ANSWER_SECONDS = 0.8
RESTART_SECONDS = 3.0
# After a crash the other ranks of the group cut their calls, and open later.
STALL_SECONDS = 1.5
FORM_SECONDS = 0.6
SLOTS = 6


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


@attrs.define(eq=False)
class Running:
    """A call at a target."""

    entry: object
    call: object
    target: instances.TargetInstance
    begins_at: float
    # The part that crashes the target, empty for a sound call.
    bad_part: str
    has_begun: bool = False


@attrs.define(eq=False)
class Entry:
    """An entry's part that knows of crashes, with its link to the hosts."""

    name: str
    poison: poison_requests.PoisonRequests
    links: test_load_exchange.Host
    exchange: load_exchange.LoadExchange


@attrs.define(eq=False)
class Site:
    """Entries, control hosts and targets; ``is_group`` if in lockstep."""

    rng: random.Random
    is_group: bool = False
    targets: int = 12
    entries: list = attrs.field(factory=list)
    hosts: dict = attrs.field(factory=dict)
    up: dict = attrs.field(factory=dict)
    running: list = attrs.field(factory=list)
    crashes: list = attrs.field(factory=list)
    # Calls with a bad part that reached targets.
    arrivals: list = attrs.field(factory=list)
    # When sound calls were refused as poison.
    sound_refused_at: list = attrs.field(factory=list)
    closed_until: float = 0
    exchanged_at: float = 0
    _calls: int = 0
    _starts: int = 0

    def open(self, entries=6):
        """Start targets, control hosts and entries."""
        self.hosts.update(h0=loads.Loads(1), h1=loads.Loads(2))
        for number in range(self.targets):
            self.start(f't{number}')
        for number in range(entries):
            self.entries.append(self.new_entry(f'e{number}'))

    def new_entry(self, name):
        known, links, _ = test_load_exchange.entry_of(name, self.hosts)
        poison = poison_requests.PoisonRequests(
            name, lambda target: False, self._is_up
        )
        exchange = load_exchange.LoadExchange(
            known,
            links,
            lambda: tuple(self.hosts),
            lambda: ('e0', 'e1'),
            lambda: None,
            poison,
        )
        return Entry(name, poison, links, exchange)

    def start(self, name):
        """Start a target anew."""
        self._starts += 1
        self.up[name] = instances.TargetInstance(
            announcements.Announcement(
                target=f'{name}-{self._starts}',
                service='s',
                address=f'{name}:80',
                born=self._starts,
            ),
            0,
        )

    def send(self, parts, bad_part='', service='s'):
        """Send a new call through some entry; True unless refused."""
        now = asyncio.get_running_loop().time()
        self._calls += 1
        entry = self.rng.choice(self.entries)
        call = self._new_call(parts, service)
        try:
            entry.poison.check(call)
        except failures.CallCrashes:
            if not bad_part:
                self.sound_refused_at.append(now)
            return False
        self._hand_over(entry, call, now, bad_part)
        return True

    def crash(self, target, now, part=''):
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

    def late_from(self, part, crashes):
        """Return when a part had crashed so many targets, or its last one."""
        found = [crash.at for crash in self.crashes if crash.part == part]
        return found[:crashes][-1]

    async def tick(self):
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

    def _new_call(self, parts, service):
        call = test_admission_control.call_of(call_id=str(self._calls))
        request = attrs.evolve(call.request, shared_parts=tuple(parts))
        body = str(self._calls).encode()
        return attrs.evolve(call, request=request, body=body, service=service)

    def _hand_over(self, entry, call, now, bad_part):
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
        self.running.append(Running(entry, call, target, begins_at, bad_part))

    def _advance(self, one, now):
        if one not in self.running or now < one.begins_at:
            return
        if one.bad_part:
            self.crash(one.target, now, one.bad_part)
            return
        if not one.has_begun:
            one.has_begun = True
            one.entry.poison.note_begun(one.call)
        if now >= one.begins_at + ANSWER_SECONDS:
            one.entry.poison.note_whole(one.call)
            self.running.remove(one)

    def _cut(self, lost):
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

    def _cut_others(self):
        self._cut(tuple(self.running))

    async def _is_up(self, address):
        await asyncio.sleep(0.001)
        return address.partition(':')[0] in self.up
