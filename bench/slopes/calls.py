"""Measure calls, tokens, streams and connections at entry and agent."""

from __future__ import annotations

import asyncio
import secrets
import typing

import aiohttp

from bench import cluster, streams
from bench.slopes import fit, process, stand

MICRO = 1e6
KIBI = 1024
ABREAST = 8
TRIES = 30
OK = 200
AUTHORIZATION = f'Bearer {stand.TOKEN}'


class Calls:
    """Send plain calls, with and without an idempotency key."""

    def __init__(self, subject: stand.Stand, quick: bool) -> None:
        """Send fewer calls when ``quick``."""
        self._stand = subject
        sizes = (50, 100, 200) if quick else (150, 300, 600)
        self._sizes = sizes if quick else sizes * 2
        self._window = process.window_seconds(quick)

    async def run(self) -> list[fit.Slope]:
        """Measure both kinds of call."""
        meter = process.Meter(self._stand.pids)
        await self._send(ABREAST, is_keyed=True)
        await meter.take_rest(self._window)
        plain = await self._cost(meter, is_keyed=False)
        keyed = await self._cost(meter, is_keyed=True)
        slopes = []
        for role in ('entry', 'agent'):
            slopes.append(_of('call_cpu', role, plain))
            slopes.append(_of('keyed_call_cpu', role, keyed))
        return slopes

    async def _cost(
        self,
        meter: process.Meter,
        is_keyed: bool,
    ) -> list[tuple[float, dict[str, float]]]:
        costs = []
        for size in self._sizes:
            spent = await meter.spent_by(self._send(size, is_keyed))
            costs.append((float(size), spent.cpu))
        return costs

    async def _send(self, count: int, is_keyed: bool) -> None:
        numbers = iter(range(count))
        headers = {'Authorization': AUTHORIZATION}
        async with aiohttp.ClientSession(headers=headers) as session:
            await asyncio.gather(
                *(
                    self._take(session, numbers, is_keyed)
                    for _ in range(ABREAST)
                ),
            )

    async def _take(
        self,
        session: aiohttp.ClientSession,
        numbers: typing.Iterator[int],
        is_keyed: bool,
    ) -> None:
        for _ in numbers:
            key = {'Idempotency-Key': secrets.token_hex(12)}
            for _ in range(TRIES):
                status = await self._post(session, key if is_keyed else {})
                if status == OK:
                    break
                # A busy machine makes the entry refuse for its loop's lag.
                await asyncio.sleep(0.1)
            else:
                raise cluster.ProcessFailed(f'call: {status}')

    async def _post(
        self,
        session: aiohttp.ClientSession,
        headers: dict[str, str],
    ) -> int:
        async with session.post(
            f'http://{self._stand.http}/stock/order',
            data=b'{"feed": 12}',
            headers=headers,
        ) as response:
            await response.read()
            return response.status


class Tokens:
    """Keep streams open whose tokens come one at a time."""

    def __init__(self, subject: stand.Stand, quick: bool) -> None:
        """Stream for a shorter time when ``quick``."""
        self._stand = subject
        self._seconds = process.window_seconds(quick)
        self._open = (16, 48, 96) if quick else (16, 48, 96, 144)
        self._runs = 1 if quick else 2

    async def run(self) -> list[fit.Slope]:
        """Measure processor time by tokens, memory by open streams."""
        meter = process.Meter(self._stand.pids)
        await meter.take_rest(self._seconds)
        costs = []
        held: dict[str, list[fit.Point]] = {'entry': [], 'drafts': []}
        for count in self._open * self._runs:
            tokens, spent, resident = await self._stream(meter, count)
            costs.append((float(tokens), spent.cpu))
            for role, found in resident.items():
                held[role].append((float(count), float(found)))
        ascending = len(self._open)
        slopes = [
            _of('token_cpu', 'entry', costs),
            _of('token_cpu', 'drafts', costs),
        ]
        for role, points in held.items():
            # What a process took once it keeps, so that only the first rise
            # shows what a stream needs.
            slopes.append(
                fit.fit(
                    f'stream_memory_{_shown(role)}',
                    'KiB a stream',
                    points[:ascending],
                    1 / KIBI,
                ),
            )
        return slopes

    async def _stream(
        self,
        meter: process.Meter,
        count: int,
    ) -> tuple[int, process.Spent, dict[str, int]]:
        counter = streams.Counter([f'http://{self._stand.http}'], stand.TOKEN)
        running = asyncio.ensure_future(counter.run(count, self._seconds + 2))
        await asyncio.sleep(1)
        before = counter.tokens
        spent = await meter.spent_by(asyncio.sleep(self._seconds))
        tokens = counter.tokens - before
        pids = self._stand.pids
        resident = {
            role: process.resident_bytes(pids[role])
            for role in ('entry', 'drafts')
        }
        await running
        return tokens, spent, resident


async def measure_connections(
    subject: stand.Stand,
    quick: bool,
) -> list[fit.Slope]:
    """Leave callers' connections open after a call each."""
    host, _, port = subject.http.rpartition(':')
    asked = (
        f'GET /stock HTTP/1.1\r\nHost: x\r\n'
        f'Authorization: {AUTHORIZATION}\r\n\r\n'
    ).encode()
    writers: list[asyncio.StreamWriter] = []
    points = []
    pid = subject.pids['entry']
    for count in (100, 200, 300) if quick else (200, 400, 600, 800):
        while len(writers) < count:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(asked)
            await reader.readuntil(b'\r\n\r\n')
            writers.append(writer)
        await asyncio.sleep(0.5)
        points.append((float(count), float(process.resident_bytes(pid))))
    for writer in writers:
        writer.transport.abort()
    return [
        fit.fit(
            'connection_memory_entry',
            'KiB a connection',
            points,
            1 / KIBI,
        ),
    ]


def _of(
    name: str,
    role: str,
    costs: list[tuple[float, dict[str, float]]],
) -> fit.Slope:
    points = [(size, spent[role]) for size, spent in costs]
    return fit.fit(f'{name}_{_shown(role)}', 'us', points, MICRO)


def _shown(role: str) -> str:
    return 'agent' if role == 'drafts' else role
