"""Measure what logging costs a call and how many bytes a second it writes.

One process holds callers, an entry with direct calls, and a target.  Rounds with
the log on and off take turns, so that both meet the same machine; what differs
is the log.  Whole answers are sampled, refusals are logged each.
"""

from __future__ import annotations

import asyncio
import io
import random
import statistics
import time
import typing

import aiohttp
import attrs
from aiohttp import web

from tamarackthread.entry.direct import (
    admission_control,
    call_log,
    call_runner,
    frontend,
    poison_requests,
    retry_budgets,
    routing_table,
    target_client,
    targets,
)
from tamarackthread.generated import settings
from tamarackthread.platform import calls as dialect
from tamarackthread.platform import wire
from tamarackthread.shared import logs, stop_deadline
from tamarackthread.shared.site import announcements, configuration

HOST = 'bench.example'
ROUNDS = 12
QUICK_ROUNDS = 4
CALLS = 400
AT_ONCE = 16
# An entry's part of the 12,000 calls a second that 370 nodes are designed for.
PEAK_CALLS_PER_SECOND = 32
MICROSECONDS = 1_000_000
_ANSWERED = '/answered/x'
_REFUSED = '/refused/x'


class _Counting(io.TextIOBase):
    """Count what is written, and drop it."""

    def __init__(self) -> None:
        self.bytes = 0

    def write(self, text: str) -> int:
        """Count a piece."""
        self.bytes += len(text.encode())
        return len(text)


@attrs.frozen
class _Cost:
    """One round: processor time a call, and bytes a call."""

    microseconds: float
    written: float


class _Stand:
    """An entry, its target and its callers."""

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        generator = random.Random(1)
        spoken = dialect.PlatformDialect()
        self._known = targets.Targets('z', 1.0, generator)
        self._sender = target_client.TargetClient(spoken)
        await self._sender.start()
        tables = routing_table.CurrentTable()
        tables.put(routing_table.RoutingTable(_configuration()))
        site = settings.Site(seeds=(), link_port=1)
        stopping = stop_deadline.StopDeadline()
        self._front = frontend.Frontend(
            spoken,
            tables,
            call_runner.CallRunner(
                self._known,
                self._sender,
                retry_budgets.RetryBudgets(site, lambda: 1, loop.time),
                admission_control.AdmissionControl(
                    self._known, lambda: 1, stopping
                ),
                poison_requests.PoisonRequests('e', self._known.is_replaced),
                generator,
                stopping,
            ),
            generator,
            call_log.CallLog(),
            stopping,
        )
        self._address = await self._front.start('127.0.0.1:0')
        self._runner = web.ServerRunner(web.Server(_answer))
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', 0).start()
        host, port = self._runner.addresses[0][:2]
        self._known.take(
            announcements.Announcement(
                target='t1',
                service='s',
                address=f'{host}:{port}',
                zone='z',
                slots=AT_ONCE,
            )
        )
        self._session = aiohttp.ClientSession()

    async def stop(self) -> None:
        await self._session.close()
        await self._front.stop()
        await self._sender.close()
        await self._runner.cleanup()

    async def press(self, path: str) -> None:
        """Make all calls of a round, a few at a time."""
        for first in range(0, CALLS, AT_ONCE):
            numbers = range(first, first + AT_ONCE)
            await asyncio.gather(*(self._ask(path, each) for each in numbers))

    async def _ask(self, path: str, number: int) -> None:
        headers = {
            'Host': HOST,
            wire.CALL_ID: f'c{number}',
            wire.DEADLINE: '4000',
        }
        async with self._session.get(
            f'http://{self._address}{path}', headers=headers
        ) as answer:
            await answer.read()


def run(quick: bool) -> dict:
    """Run rounds of both kinds of calls, with the log on and off in turn."""
    rounds = QUICK_ROUNDS if quick else ROUNDS
    found = asyncio.run(_measure(rounds))
    _print_table(found)
    return found


async def _measure(rounds: int) -> dict[str, typing.Any]:
    stand = _Stand()
    await stand.start()
    await stand.press(_ANSWERED)
    found: dict[str, typing.Any] = {}
    for path in (_ANSWERED, _REFUSED):
        pairs = [
            (
                await _round(stand, path, 'info'),
                await _round(stand, path, 'error'),
            )
            for _ in range(rounds)
        ]
        found[path.split('/')[1]] = _summed(pairs)
    await stand.stop()
    return found


async def _round(stand: _Stand, path: str, level: str) -> _Cost:
    stream = _Counting()
    chosen = settings.Logs(level=level, json=True)
    writer = logs.start(chosen, typing.cast(typing.TextIO, stream), 'bench')
    began = time.process_time()
    await stand.press(path)
    # Lines are laid out and written in a thread; that is part of the cost.
    writer.close()
    took = time.process_time() - began
    return _Cost(took * MICROSECONDS / CALLS, stream.bytes / CALLS)


def _summed(pairs: list[tuple[_Cost, _Cost]]) -> dict[str, float]:
    logged = statistics.median(on.microseconds for on, _ in pairs)
    silent = statistics.median(off.microseconds for _, off in pairs)
    written = statistics.median(on.written for on, _ in pairs)
    return {
        'call_us': round(silent, 1),
        'logged_call_us': round(logged, 1),
        'log_us': round(logged - silent, 1),
        'log_share': round((logged - silent) / silent, 4),
        'bytes_per_call': round(written, 1),
        'bytes_per_second_at_peak': round(written * PEAK_CALLS_PER_SECOND),
    }


def _print_table(found: dict[str, dict[str, float]]) -> None:
    for kind, row in found.items():
        print(
            f'{kind:10} {row["call_us"]:8.1f} us a call, log'
            f' {row["log_us"]:6.1f} us, {row["bytes_per_call"]:7.1f} B a call,'
            f' {row["bytes_per_second_at_peak"]} B/s at the peak'
        )


def _configuration() -> configuration.Configuration:
    return configuration.Configuration(
        version=1,
        routes=tuple(
            configuration.Route(
                name=service,
                host=HOST,
                prefix=prefix,
                kind=configuration.RouteKind.IDEMPOTENT,
                shares=(configuration.TrafficShare(service, 1),),
                timeout=5,
                latency_goal=1,
            )
            for service, prefix in (('s', '/answered/'), ('none', '/refused/'))
        ),
        services=(
            configuration.Service(name='s'),
            configuration.Service(name='none'),
        ),
    )


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(
        text='yes',
        headers={
            wire.CALL_ID: request.headers[wire.CALL_ID],
            wire.SIGNATURE: 's',
        },
    )
