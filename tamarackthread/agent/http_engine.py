"""Control a rank's engine over HTTP, see docs/ENGINES.md."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import json
import typing

import attrs

from tamarackthread.agent import (
    engine,
    engine_client,
    order_errors,
    switch_record,
    weight_loading,
)
from tamarackthread.policy import expert_map, moves

STATUS_PATH = '/ranks/status'
START_PATH = '/ranks/start'
MAPS_PATH = '/ranks/maps'
WEIGHTS_PATH = '/ranks/weights'
PIECES_PATH = '/ranks/pieces'
RECORD_PATH = '/ranks/record'
ORDERS_PATH = '/ranks/orders'

# Refusal reason for a switch whose step has begun.
TOO_LATE = 'too_late'

_POLL_SECONDS = 5.0
_POLL_MARGIN_SECONDS = 1.0
_PIECE_TIMEOUT_SECONDS = 30.0
_RETRY_SECONDS = 0.1
_PARSE_ERRORS = (KeyError, TypeError, ValueError)


@attrs.frozen
class EngineState:
    """Rank, status and group shape reported by an engine."""

    rank: int
    status: engine.EngineStatus
    shape: expert_map.GroupShape


class HttpEngine(engine.Engine):
    """Engine of one rank; every method may be cancelled."""

    def __init__(self, client: engine_client.EngineClient, rank: int) -> None:
        """Send requests through ``client``, which the caller starts and stops."""
        self._client = client
        self._rank = rank
        self._incarnation = 0

    async def state(self) -> EngineState:
        """Request the engine's state."""
        answer = await self._client.ask('GET', STATUS_PATH)
        with _parsing(STATUS_PATH):
            return EngineState(
                rank=int(answer['rank']),
                status=engine.EngineStatus(
                    step=int(answer['step']),
                    incarnation=int(answer['incarnation']),
                    step_ms=float(answer['step_ms']),
                ),
                shape=_shape(answer),
            )

    async def status(self) -> engine.EngineStatus:
        """Return step, incarnation and step time."""
        return (await self.state()).status

    async def wait_started(self, incarnation: int) -> int:
        """Poll, without a timeout, for another incarnation.  It may be a lower
        one, because an engine without a disk counts from 1 again.
        """
        wait_ms = int(_POLL_SECONDS * 1000)
        path = f'{START_PATH}?after={incarnation}&wait_ms={wait_ms}'
        seconds = _POLL_SECONDS + _POLL_MARGIN_SECONDS
        while True:
            try:
                answer = await self._client.ask('GET', path, seconds=seconds)
                found = _incarnation(START_PATH, answer)
            except order_errors.EngineFailed:
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            if found != incarnation:
                return found

    async def add_map(self, placement: expert_map.ExpertMap) -> None:
        """Register a map; idempotent."""
        await self._client.ask('POST', MAPS_PATH, placement.to_json())

    async def loaded(self) -> collections.abc.Collection[moves.Move]:
        """List the loaded weights and record the incarnation they belong to."""
        answer = await self._client.ask('GET', WEIGHTS_PATH)
        with _parsing(WEIGHTS_PATH):
            found = [
                moves.Move(int(layer), self._rank, int(expert))
                for layer, expert in answer['weights']
            ]
        self._incarnation = _incarnation(WEIGHTS_PATH, answer)
        return found

    async def load_piece(self, piece: moves.Piece) -> None:
        """Load one piece; cancelling closes the connection, which discards it."""
        text = json.dumps(
            {
                'layer': piece.move.layer,
                'expert': piece.move.expert,
                'number': piece.number,
                'of': weight_loading.PIECES_PER_MOVE,
                'urgent': piece.move.urgent,
            },
        )
        await self._client.ask(
            'POST', PIECES_PATH, text, _PIECE_TIMEOUT_SECONDS
        )

    async def apply_record(
        self,
        record: switch_record.SwitchRecord,
        fence: int,
    ) -> None:
        """Send a record until the engine has accepted or refused it."""
        # Without the retries a lost answer leaves the engine armed while the
        # agent takes it as not armed and never sends the outcome.
        text = json.dumps(
            {
                'record': json.loads(record.to_json()),
                'fence': fence,
                'incarnation': self._incarnation,
            },
        )
        while not await self._is_record_accepted(text):
            await asyncio.sleep(_RETRY_SECONDS)

    async def execute(
        self,
        action: str,
        body: str,
        fence: int,
        report: engine.Report,
    ) -> str:
        """Execute an order; cancelling closes the connection, which stops it."""
        order = json.dumps({'action': action, 'body': body, 'fence': fence})
        async with contextlib.aclosing(
            self._client.lines(ORDERS_PATH, order),
        ) as lines:
            async for line in lines:
                ended = _result(line)
                if ended is not None:
                    return ended
                with _parsing(ORDERS_PATH):
                    report(float(line['done']))
        raise engine_client.EngineSilent(
            f'{ORDERS_PATH}: answer ended before the result'
        )

    async def _is_record_accepted(self, text: str) -> bool:
        """Send a record once; raise if the engine refuses it."""
        try:
            await self._client.ask('POST', RECORD_PATH, text)
        except engine_client.EngineSilent:
            return False
        except engine_client.EngineRefused as exc:
            if exc.reason == TOO_LATE:
                raise order_errors.ArmTooLate() from exc
            raise
        return True


@contextlib.contextmanager
def _parsing(path: str) -> typing.Iterator[None]:
    """Raise ``EngineFailed`` for an answer with missing or invalid fields."""
    try:
        yield
    except _PARSE_ERRORS as exc:
        text = f'{path}: invalid answer, {exc!r}'
        raise order_errors.EngineFailed(text) from exc


def _result(line: engine_client.Answer) -> str | None:
    """Return the result if the line has one; raise the engine's failure."""
    failure = line.get('failed')
    if failure is not None:
        raise order_errors.EngineFailed(str(failure))
    ended = line.get('result')
    return None if ended is None else str(ended)


def _incarnation(path: str, answer: engine_client.Answer) -> int:
    with _parsing(path):
        return int(answer['incarnation'])


def _shape(answer: engine_client.Answer) -> expert_map.GroupShape:
    return expert_map.GroupShape(
        layers=int(answer['layers']),
        experts=int(answer['experts']),
        ranks=int(answer['ranks']),
        slots=int(answer['slots']),
    )
