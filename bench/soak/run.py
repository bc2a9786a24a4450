"""Press a site with calls and changes while its processes are broken."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import tempfile
import types
import typing
import uuid

import aiohttp

from bench.soak import crowd, ledger, targets, world
from tamarackthread.platform import wire

TARGETS = 4
CALLERS = 12
CALL_SECONDS = 4.0
CHANGE_SECONDS = 1.0
RESEND_SECONDS = 0.1
EVACUATED_SECONDS = 7.0
# Orders for a zone that follow each other at once, before it stays evacuated.
MOST_FLIPS = 4
FLIP_SECONDS = 0.3
# Share of seeds with many entries, whose processes are all killed at once.
CROWDED_SHARE = 0.4
HERD_SECONDS = 4.0
# Share of seeds with clients that don't behave.
MISBEHAVED_SHARE = 0.5
FULL_SECONDS = 6.0
# Longest pauses of a caller between its calls.
CALL_PAUSE_SECONDS = 0.05
CROWDED_PAUSE_SECONDS = 0.2
CRASH_SECONDS = 0.5
# Calls share the first part of their prompts and one of so many topics.
TOPICS = 6
# An operator without an answer asks another host.
OPERATOR_SECONDS = 1.0
MOST_PAUSE_SECONDS = 2.0
MOST_DOWN_SECONDS = 1.5
MOST_FROZEN_SECONDS = 4.0
# A fault explains a cut call up to so long after its end.
AFTER_SECONDS = 1.0
# A call that is read is not cut off without an answer later than this.
CROSSING_SECONDS = 0.2
_SERVICE = 'app'
_HOST = 'soak.example'
_PATHS = types.MappingProxyType(
    {
        ledger.Kind.ONCE: '/once/x',
        ledger.Kind.REPEATABLE: '/repeat/x',
        ledger.Kind.STREAM: '/stream/x',
    }
)
_KINDS = types.MappingProxyType(
    {'once': 'non_idempotent', 'repeat': 'idempotent', 'stream': 'streaming'}
)
_UNSENT = (aiohttp.ClientConnectorError, TimeoutError)
_FAILURES = (aiohttp.ClientError, OSError, TimeoutError)


async def soak(
    seed: int, seconds: float, kept: pathlib.Path | None = None
) -> dict[str, typing.Any]:
    """Run one seed for so long and return what was seen.

    Settings, data and logs stay below ``kept``, if it is given.
    """
    if kept is not None:
        folder = kept / str(seed)
        folder.mkdir(parents=True)
        return await Soak(seed, folder).run(seconds)
    with tempfile.TemporaryDirectory() as temporary:
        return await Soak(seed, pathlib.Path(temporary)).run(seconds)


class Soak:
    """One run: a site, its targets, callers, an operator and faults."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        """Draw everything from a seed; start nothing yet."""
        self._rng = random.Random(seed)
        self._seed = seed
        self.seen = ledger.Ledger()
        # A generator of its own: what else a seed draws stays as it was.
        self._is_crowded = random.Random(f'{seed} crowded').random() < (
            CROWDED_SHARE
        )
        self._has_crowd = random.Random(f'{seed} clients').random() < (
            MISBEHAVED_SHARE
        )
        self._call_pause = CALL_PAUSE_SECONDS
        entries = world.FEW_ENTRIES
        if self._is_crowded:
            self._call_pause = CROWDED_PAUSE_SECONDS
            entries = len(world.ENTRIES)
        self._world = world.World(folder, entries)
        self._targets = [
            targets.Target(
                _SERVICE,
                self._world.control_addresses,
                self.seen,
                self._rng,
                world.ZONES[number % len(world.ZONES)],
            )
            for number in range(TARGETS)
        ]
        self._version = 0
        self._faults: collections.Counter[str] = collections.Counter()
        self._is_over = False

    async def run(self, seconds: float) -> dict[str, typing.Any]:
        """Run and judge; every process is ended by then."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            try:
                await self._press(session, seconds)
                self._judge_memory()
            finally:
                await self._world.close()
                await asyncio.gather(*(one.stop() for one in self._targets))
        return self._report()

    async def _press(
        self,
        session: aiohttp.ClientSession,
        seconds: float,
    ) -> None:
        for target in self._targets:
            await target.start()
        await self._world.start()
        beating = [
            asyncio.create_task(one.beat(session)) for one in self._targets
        ]
        await self._change(session)
        await self._world.wait_ready(session)
        working = [
            asyncio.create_task(self._call_on(session)) for _ in range(CALLERS)
        ]
        working.append(asyncio.create_task(self._change_on(session)))
        working.append(asyncio.create_task(self._evacuate_on(session)))
        if self._is_crowded:
            working.append(asyncio.create_task(self._kill_all()))
        else:
            # What crashes targets is known to running processes only.
            working.append(asyncio.create_task(self._crash_on(session)))
            working.append(asyncio.create_task(self._crash_by_part_on(session)))
            working.append(asyncio.create_task(self._break_entries()))
            working.append(asyncio.create_task(self._break_controls()))
        working.append(asyncio.create_task(self._break_targets()))
        if self._has_crowd:
            working.append(asyncio.create_task(self._crowd_on()))
        await asyncio.sleep(seconds)
        self._is_over = True
        await asyncio.gather(*working)
        for task in beating:
            task.cancel()

    async def _crowd_on(self) -> None:
        """Press entries with clients that don't behave."""
        pressing = crowd.Crowd(
            random.Random(f'{self._seed} crowd'),
            [self._world.callers_address(one) for one in self._world.entries],
            _HOST,
            list(_PATHS.values()),
        )
        while not self._is_over:
            self._faults['crowd'] += 1
            await pressing.press()

    def _judge_memory(self) -> None:
        """Check what each running process has held at most."""
        for node in (*self._world.controls, *self._world.entries):
            self.seen.held_at_most(node.host, world.peak_bytes(node))

    async def _call_on(self, session: aiohttp.ClientSession) -> None:
        while not self._is_over:
            kind = self._rng.choice(tuple(_PATHS))
            entry = self._rng.choice(self._world.entries)
            await self._call(session, kind, entry)
            await asyncio.sleep(self._rng.uniform(0, self._call_pause))

    async def _call(
        self,
        session: aiohttp.ClientSession,
        kind: ledger.Kind,
        entry: world.Node,
        body: str = '',
        parts: str = '',
    ) -> None:
        attempt = ledger.Attempt(uuid.uuid4().hex, kind, entry.host)
        attempt.is_crashing = bool(body or parts)
        topic = parts or f'topic{self._rng.randrange(TOPICS)}'
        asked_at = asyncio.get_running_loop().time()
        self.seen.asked(attempt, asked_at)
        headers = {
            'Host': _HOST,
            wire.CALL_ID: attempt.identity,
            wire.DEADLINE: str(int(CALL_SECONDS * 1000)),
            wire.PROMPT: f'shared:40,{topic}:60,{attempt.identity}:9',
        }
        url = f'http://{self._world.callers_address(entry)}{_PATHS[kind]}'
        try:
            async with asyncio.timeout(CALL_SECONDS + 1):
                async with session.post(
                    url, headers=headers, data=body
                ) as answer:
                    attempt.body = await answer.text()
                    attempt.status = answer.status
        except _UNSENT:
            return
        except _FAILURES:
            attempt.was_cut = True
            self._judge_cut(attempt, entry, asked_at)

    def _judge_cut(
        self,
        attempt: ledger.Attempt,
        entry: world.Node,
        asked_at: float,
    ) -> None:
        """Tell whether only a planned stop can have cut a call off.

        A call that no target got may have crossed the close of its connection: the
        entry has not read it, and callers send such a one again.
        """
        took = asyncio.get_running_loop().time() - asked_at
        if took < CROSSING_SECONDS and not self.seen.runs[attempt.identity]:
            return
        if attempt.identity in self.seen.broken_off:
            return
        if entry.is_planned_stop and entry.broken_at + AFTER_SECONDS < asked_at:
            self.seen.cut_by_planned_stop(attempt)

    async def _change_on(self, session: aiohttp.ClientSession) -> None:
        while not self._is_over:
            await asyncio.sleep(self._rng.uniform(0, CHANGE_SECONDS))
            await self._change(session)
            await self._read(session)

    async def _evacuate_on(self, session: aiohttp.ClientSession) -> None:
        """Evacuate a zone and take it back, in turn."""
        zone = world.ZONES[-1]
        while not self._is_over:
            await self._pause()
            # An order that a frozen host still holds comes after newer ones.
            for _ in range(self._rng.randrange(MOST_FLIPS)):
                await self._order(session, wire.EVACUATE, zone)
                await asyncio.sleep(self._rng.uniform(0, FLIP_SECONDS))
                await self._order(session, wire.RESTORE, zone)
            await self._order(session, wire.EVACUATE, zone)
            self.seen.evacuated(zone, asyncio.get_running_loop().time())
            await self._wait(EVACUATED_SECONDS)
            self.seen.restored(zone)
            await self._order(session, wire.RESTORE, zone)

    async def _order(
        self,
        session: aiohttp.ClientSession,
        path: str,
        zone: str,
    ) -> None:
        """Send an order until it is acknowledged, to any control host."""
        path = path.replace('{zone}', zone)
        while await self._posted(session, path, None) != ledger.OK:
            await asyncio.sleep(RESEND_SECONDS)

    async def _crash_on(self, session: aiohttp.ClientSession) -> None:
        """Send a call again and again that crashes the target that runs it."""
        while not self._is_over:
            await asyncio.sleep(CRASH_SECONDS)
            entry = self._rng.choice(self._world.entries)
            kind = ledger.Kind.REPEATABLE
            await self._call(session, kind, entry, targets.CRASHING)

    async def _crash_by_part_on(self, session: aiohttp.ClientSession) -> None:
        """Send new calls that crash their targets by a part they share."""
        while not self._is_over:
            await asyncio.sleep(self._rng.uniform(0, CRASH_SECONDS))
            entry = self._rng.choice(self._world.entries)
            part = targets.CRASHING_PART
            await self._call(session, ledger.Kind.STREAM, entry, parts=part)

    async def _wait(self, seconds: float) -> None:
        """Wait, but no longer than the run lasts."""
        until = asyncio.get_running_loop().time() + seconds
        while not self._is_over and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(RESEND_SECONDS)

    async def _change(self, session: aiohttp.ClientSession) -> None:
        """Send a version until it is accepted, to any control host."""
        self._version += self._rng.randint(1, 3)
        body = _configuration(self._version)
        while await self._posted(session, wire.REPLACE, body) != ledger.OK:
            await asyncio.sleep(RESEND_SECONDS)
        now = asyncio.get_running_loop().time()
        self.seen.accepted(self._version, now)

    async def _posted(
        self,
        session: aiohttp.ClientSession,
        path: str,
        body: dict[str, typing.Any] | None,
    ) -> int:
        """Send an order once and return the status, 0 without an answer."""
        host = self._rng.choice(self._world.control_addresses)
        url = f'http://{host}{path}'
        try:
            async with (
                asyncio.timeout(OPERATOR_SECONDS),
                session.post(url, json=body) as answer,
            ):
                await answer.read()
                return answer.status
        except _FAILURES:
            return 0

    async def _read(self, session: aiohttp.ClientSession) -> None:
        host = self._rng.choice(self._world.control_addresses)
        asked_at = asyncio.get_running_loop().time()
        try:
            async with (
                asyncio.timeout(OPERATOR_SECONDS),
                session.get(f'http://{host}{wire.READ}') as answer,
            ):
                status = answer.status
                held = await answer.json()
        except _FAILURES:
            return
        if status == ledger.OK:
            self.seen.read_back(held['version'], asked_at)

    async def _break_entries(self) -> None:
        """Break one entry after the other; the other goes on."""
        while not self._is_over:
            await self._pause()
            await self._break(self._rng.choice(self._world.entries))

    async def _kill_all(self) -> None:
        """Kill all processes at once, while all targets refuse calls."""
        while not self._is_over:
            await self._pause()
            self._faults['herd'] += 1
            for target in self._targets:
                target.is_full = True
            await self._world.kill_all(
                (*self._world.controls, *self._world.entries)
            )
            await asyncio.sleep(FULL_SECONDS)
            for target in self._targets:
                target.is_full = False
            await self._wait(HERD_SECONDS)

    async def _break_controls(self) -> None:
        """Break one control host at a time, as many as may be lost."""
        while not self._is_over:
            await self._pause()
            await self._break(self._rng.choice(self._world.controls))

    async def _break(self, node: world.Node) -> None:
        fault = self._rng.choice(('kill', 'freeze', 'stop'))
        self._faults[f'{fault}_{node.role}'] += 1
        down = self._rng.uniform(0, MOST_DOWN_SECONDS)
        if fault == 'kill':
            await self._world.kill(node, down)
        elif fault == 'freeze' and node.role == 'control':
            frozen = down * MOST_FROZEN_SECONDS / MOST_DOWN_SECONDS
            await self._world.freeze(node, frozen)
        elif fault == 'freeze':
            await self._world.freeze(node, down)
        else:
            await self._world.stop_planned(node)

    async def _break_targets(self) -> None:
        """Have targets crash and start anew, or fall silent for a while."""
        while not self._is_over:
            await self._pause()
            target = self._rng.choice(self._targets)
            self._faults['target'] += 1
            target.is_silent = True
            await asyncio.sleep(self._rng.uniform(0, MOST_DOWN_SECONDS))
            target.is_silent = False
            if self._rng.random() < 0.5:
                target.renew()

    async def _pause(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.2, MOST_PAUSE_SECONDS))

    def _report(self) -> dict[str, typing.Any]:
        found = self.seen.violations()
        statuses = collections.Counter(
            attempt.status for attempt in self.seen.attempts.values()
        )
        return {
            'seed': self._seed,
            'calls': len(self.seen.attempts),
            'statuses': {str(key): statuses[key] for key in sorted(statuses)},
            'version': self._version,
            'faults': dict(self._faults),
            'crashes': self.seen.crashes(),
            'most_repeats': self.seen.most_repeats(),
            'violations': [f'{one.promise}: {one.about}' for one in found],
        }


def _configuration(version: int) -> dict[str, typing.Any]:
    routes = [
        {
            'name': name,
            'host': _HOST,
            'path-prefix': f'/{name}/',
            'kind': _KINDS[name],
            'timeout-ms': 3000 + version,
            'service': _SERVICE,
            'attempts': 2,
            'stream-resumption': name == 'stream',
        }
        for name in ('once', 'repeat', 'stream')
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': _SERVICE, 'cold-per-s': ledger.COLD_RATE}],
    }
