"""Serve the emulated ranks of a lock-step group over HTTP, a port each.

Each port takes calls as an emulated engine does and, under ``/ranks``, what
an agent asks of its rank.  The journal gets the map that each rank used in
each step.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
import pathlib
import signal
import typing

import attrs
import numpy
from aiohttp import web

from bench.engines import batch, group, journal, replica, step_history
from tamarackthread.agent import (
    engine_tokens,
    http_engine,
    order_errors,
    switch_record,
)
from tamarackthread.policy import expert_map, moves

STEP = 'step'
_HOST = '127.0.0.1'
_POLL_SECONDS = 0.01
_PROGRESS_SECONDS = 0.2
_WINDOW_SECONDS = 1.0
_KEPT_WINDOWS = 64
_MOST_TOKENS = 1000
_MS = 1000


class JournaledGroup(group.LockStepGroup):
    """Write down each step of the group once it is over."""

    def __init__(
        self,
        tokens: numpy.ndarray,
        token_seconds: float,
        record: journal.Journal,
    ) -> None:
        """Write to ``record``."""
        super().__init__(tokens, token_seconds)
        self._journal = record

    async def _run_step(self) -> None:
        await super()._run_step()
        ran = self.history.steps[-1]
        self._journal.record(STEP, **attrs.asdict(ran))


def read_history(path: pathlib.Path) -> step_history.History:
    """Read a journal's steps back for the checker."""
    history = step_history.History()
    for line in path.read_text().splitlines():
        fields = json.loads(line)
        if fields.pop('event') != STEP:
            continue
        fields.pop('at')
        fields['maps'] = tuple(fields['maps'])
        history.steps.append(step_history.Step(**fields))
    return history


@attrs.frozen
class _Window:
    """The tokens of a window that began at ``started`` loop seconds."""

    number: int
    started: float
    tokens: list[list[int]]


class TokenCounts:
    """Keep the group's last windows of tokens for all its ranks."""

    def __init__(self, lockstep: group.LockStepGroup) -> None:
        """Start without a window."""
        self._group = lockstep
        self._windows: collections.deque[_Window] = collections.deque(
            maxlen=_KEPT_WINDOWS,
        )
        self._number = 0

    async def run(self) -> None:
        """Count for ever; some windows are lost, as in engines."""
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            await asyncio.sleep(_WINDOW_SECONDS)
            tokens = self._group.token_report()
            if tokens is None:
                continue
            self._number += 1
            window = _Window(self._number, started, tokens.tolist())
            self._windows.append(window)

    def after(self, number: int) -> dict[str, typing.Any]:
        """Give the windows after one of that number."""
        now = asyncio.get_running_loop().time()
        found = [
            {'age_ms': (now - one.started) * _MS, 'tokens': one.tokens}
            for one in self._windows
            if one.number > number
        ]
        return {'sequence': self._number, 'windows': found}


class RankServer:
    """Answer for one rank."""

    def __init__(
        self,
        rank_engine: group.RankEngine,
        shape: expert_map.GroupShape,
        counts: TokenCounts,
    ) -> None:
        """Pass everything on to ``rank_engine``."""
        self._engine = rank_engine
        self._shape = shape
        self._counts = counts

    def add_routes(self, app: web.Application) -> None:
        """Serve the paths under ``/ranks``."""
        app.router.add_get(http_engine.STATUS_PATH, self._status)
        app.router.add_get(http_engine.START_PATH, self._start)
        app.router.add_post(http_engine.MAPS_PATH, self._add_map)
        app.router.add_get(http_engine.WEIGHTS_PATH, self._weights)
        app.router.add_post(http_engine.PIECES_PATH, self._load_piece)
        app.router.add_post(http_engine.RECORD_PATH, self._follow)
        app.router.add_post(http_engine.ORDERS_PATH, self._execute)
        app.router.add_get(engine_tokens.TOKENS_PATH, self._tokens)
        app.middlewares.append(self._down_or_refused)

    @web.middleware
    async def _down_or_refused(
        self,
        request: web.Request,
        handler: typing.Any,
    ) -> web.StreamResponse:
        """Answer for a failing engine: 503 while it is down, else 409."""
        try:
            return await handler(request)
        except order_errors.ArmTooLate:
            return _refusal(http_engine.TOO_LATE)
        except order_errors.EngineFailed as exc:
            if self._engine.is_up:
                return _refusal(str(exc))
            return web.Response(status=503)

    async def _status(self, request: web.Request) -> web.Response:
        status = await self._engine.status()
        fields = {'rank': self._engine.rank, **attrs.asdict(status)}
        fields.update(attrs.asdict(self._shape))
        return web.json_response(fields)

    async def _start(self, request: web.Request) -> web.Response:
        """Hold the answer until there is a start other than the known one."""
        known = int(request.query['after'])
        loop = asyncio.get_running_loop()
        end = loop.time() + float(request.query['wait_ms']) / _MS
        while loop.time() < end:
            if self._engine.is_up and self._engine.incarnation != known:
                break
            await asyncio.sleep(_POLL_SECONDS)
        await self._engine.status()
        return self._incarnation()

    async def _add_map(self, request: web.Request) -> web.Response:
        placement = expert_map.from_json(await request.text())
        await self._engine.add_map(placement)
        return web.json_response({})

    async def _weights(self, request: web.Request) -> web.Response:
        found = await self._engine.loaded()
        weights = [[move.layer, move.expert] for move in found]
        return self._incarnation(weights=weights)

    async def _load_piece(self, request: web.Request) -> web.Response:
        body = await request.json()
        move = moves.Move(
            body['layer'],
            self._engine.rank,
            body['expert'],
            body['urgent'],
        )
        await self._engine.load_piece(moves.Piece(move, body['number']))
        return web.json_response({})

    async def _follow(self, request: web.Request) -> web.Response:
        body = await request.json()
        record = switch_record.from_json(json.dumps(body['record']))
        # Waits out a stall, so that nothing comes between check and record.
        await self._engine.status()
        if body['incarnation'] != self._engine.incarnation:
            return _refusal('engine has started anew')
        await self._engine.apply_record(record, body['fence'])
        return web.json_response({})

    async def _execute(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        done = [float(0)]
        work = asyncio.ensure_future(
            self._engine.execute(
                body['action'],
                body['body'],
                body['fence'],
                done.append,
            ),
        )
        response = web.StreamResponse()
        await response.prepare(request)
        try:
            while not work.done():
                await asyncio.wait((work,), timeout=_PROGRESS_SECONDS)
                await response.write(_line(done=done[-1]))
            await response.write(_end_of(work))
        finally:
            work.cancel()
        return response

    async def _tokens(self, request: web.Request) -> web.Response:
        number = int(request.query['after'])
        return web.json_response(self._counts.after(number))

    def _incarnation(self, **fields: typing.Any) -> web.Response:
        return web.json_response(
            {'incarnation': self._engine.incarnation, **fields},
        )


def _refusal(reason: str) -> web.Response:
    return web.json_response({'reason': reason}, status=409)


def _line(**fields: typing.Any) -> bytes:
    return f'{json.dumps(fields)}\n'.encode()


def _end_of(work: asyncio.Future[str]) -> bytes:
    failure = work.exception()
    if failure is not None:
        return _line(failed=str(failure))
    return _line(result=work.result())


def _tokens(
    shape: expert_map.GroupShape,
    popularity: float,
) -> numpy.ndarray:
    places = numpy.arange(1, shape.experts + 1, dtype=float)
    each = _MOST_TOKENS * places**-popularity
    return numpy.tile(each, (shape.layers, 1))


class RankedGroup:
    """Hold the ranks of a group, their ports and the steps."""

    def __init__(
        self,
        shape: expert_map.GroupShape,
        step_seconds: float,
        record: journal.Journal,
        checks_fencing: bool = False,
        popularity: float = 0,
    ) -> None:
        """Listen nowhere before ``start``.

        Expert ``n`` gets tokens by ``(n + 1) ** -popularity``; with 0 all
        get as many.
        """
        self._shape = shape
        self._step_seconds = step_seconds
        self._journal = record
        tokens = _tokens(shape, popularity)
        # A step of the cold-start map takes the time asked for.
        first = expert_map.cold_start(shape)
        loads = first.rank_loads(tokens).max(axis=1)
        token_seconds = step_seconds / float(loads.sum())
        self.group = JournaledGroup(tokens, token_seconds, record)
        self._counts = TokenCounts(self.group)
        for rank in range(shape.ranks):
            self.group.engines.append(
                group.RankEngine(rank, self.group, checks_fencing),
            )
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, port: int = 0) -> list[str]:
        """Run the steps and return each rank's address.

        Ranks listen on consecutive ports from ``port``; with 0 the kernel
        picks them.
        """
        for work in (self.group.run(), self._counts.run()):
            self._tasks.append(asyncio.create_task(work))
        return [
            await self._serve(one, port + one.rank if port else 0)
            for one in self.group.engines
        ]

    async def stop(self) -> None:
        """Stop steps and ports."""
        for task in self._tasks:
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()

    async def _serve(self, rank_engine: group.RankEngine, port: int) -> str:
        options = batch.EngineOptions(
            step_seconds=self._step_seconds,
            slots=32,
        )
        app = replica.Replica(options, self._journal).application()
        server = RankServer(rank_engine, self._shape, self._counts)
        server.add_routes(app)
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0,
        )
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, _HOST, port).start()
        return f'{_HOST}:{runner.addresses[0][1]}'


async def serve(ranked: RankedGroup, port: int) -> None:
    """Serve until SIGTERM and print the ranks' addresses as one JSON line."""
    addresses = await ranked.start(port)
    named = {f'http-{rank}': found for rank, found in enumerate(addresses)}
    print(json.dumps(named), flush=True)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await stopping.wait()
    await ranked.stop()


def main() -> None:
    """Serve one emulated group as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--journal', type=pathlib.Path)
    parser.add_argument('--step-ms', type=float, default=6)
    parser.add_argument('--layers', type=int, default=2)
    parser.add_argument('--experts', type=int, default=16)
    parser.add_argument('--ranks', type=int, default=4)
    parser.add_argument('--slots', type=int, default=6)
    parser.add_argument('--checks-fencing', action='store_true')
    parser.add_argument('--popularity', type=float, default=0)
    given = parser.parse_args()
    ranked = RankedGroup(
        expert_map.GroupShape(
            given.layers,
            given.experts,
            given.ranks,
            given.slots,
        ),
        given.step_ms / _MS,
        journal.Journal(given.journal),
        given.checks_fencing,
        given.popularity,
    )
    asyncio.run(serve(ranked, given.port))


if __name__ == '__main__':
    main()
