"""Drive a rank's engine over its target's HTTP, as docs/ENGINES.md tells."""

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

# The engine's word for a switch step that it has begun.
TOO_LATE = 'too_late'

_POLL_SECONDS = 5.0
_POLL_MARGIN_SECONDS = 1.0
_PIECE_SECONDS = 30.0
_RETRY_SECONDS = 0.1
_UNREADABLE = (KeyError, TypeError, ValueError)


@attrs.frozen
class EngineState:
    """What an engine tells of itself and of its group's size."""

    rank: int
    status: engine.EngineStatus
    shape: expert_map.GroupShape


class HttpEngine(engine.Engine):
    """The engine of one rank; a caller may cancel any method."""

    def __init__(self, client: engine_client.EngineClient, rank: int) -> None:
        """Ask through ``client``, which its owner starts and stops."""
        self._client = client
        self._rank = rank
        self._incarnation = 0

    async def state(self) -> EngineState:
        """Ask for everything that the engine tells of itself."""
        answer = await self._client.ask('GET', STATUS_PATH)
        with _readable(STATUS_PATH):
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
        """Ask for step, incarnation and step time."""
        return (await self.state()).status

    async def wait_started(self, incarnation: int) -> int:
        """Poll for a start other than ``incarnation``, however long.

        An engine without a disk may count from 1 again, so any other number
        is a new start.
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
        """Make a map known; sending it again does nothing."""
        await self._client.ask('POST', MAPS_PATH, placement.to_json())

    async def loaded(self) -> collections.abc.Collection[moves.Move]:
        """List the weights that are loaded whole, and note whose they are."""
        answer = await self._client.ask('GET', WEIGHTS_PATH)
        with _readable(WEIGHTS_PATH):
            found = [
                moves.Move(int(layer), self._rank, int(expert))
                for layer, expert in answer['weights']
            ]
        self._incarnation = _incarnation(WEIGHTS_PATH, answer)
        return found

    async def load_piece(self, piece: moves.Piece) -> None:
        """Load one piece; closing the connection has the engine drop it."""
        text = json.dumps(
            {
                'layer': piece.move.layer,
                'expert': piece.move.expert,
                'number': piece.number,
                'of': weight_loading.PIECES_PER_MOVE,
                'urgent': piece.move.urgent,
            },
        )
        await self._client.ask('POST', PIECES_PATH, text, _PIECE_SECONDS)

    async def apply_record(
        self,
        record: switch_record.SwitchRecord,
        fence: int,
    ) -> None:
        """Send a record until the engine has taken or refused it."""
        # The failure: the answer to an arm is lost, the agent takes it as
        # failed and the owner aborts; the engine has armed all the same and
        # holds at the step for ever, because its agent tells an outcome only
        # when it knows of the arm.  Sending on until there is an answer is
        # enough, because taking a record again does nothing, and an engine
        # that has started anew refuses by the incarnation.
        text = json.dumps(
            {
                'record': json.loads(record.to_json()),
                'fence': fence,
                'incarnation': self._incarnation,
            },
        )
        while not await self._is_record_taken(text):
            await asyncio.sleep(_RETRY_SECONDS)

    async def execute(
        self,
        action: str,
        body: str,
        fence: int,
        report: engine.Report,
    ) -> str:
        """Execute an order; closing the connection has the engine stop it."""
        order = json.dumps({'action': action, 'body': body, 'fence': fence})
        async with contextlib.aclosing(
            self._client.lines(ORDERS_PATH, order),
        ) as lines:
            async for line in lines:
                ended = _result(line)
                if ended is not None:
                    return ended
                with _readable(ORDERS_PATH):
                    report(float(line['done']))
        raise engine_client.EngineSilent(f'{ORDERS_PATH}: ended half way')

    async def _is_record_taken(self, text: str) -> bool:
        """Send a record once; raise when the engine refuses it."""
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
def _readable(path: str) -> typing.Iterator[None]:
    """Turn an answer that lacks something into a coded failure."""
    try:
        yield
    except _UNREADABLE as exc:
        text = f'{path}: cannot read the answer, {exc!r}'
        raise order_errors.EngineFailed(text) from exc


def _result(line: engine_client.Answer) -> str | None:
    """Return the result once there is one; raise the engine's failure."""
    failure = line.get('failed')
    if failure is not None:
        raise order_errors.EngineFailed(str(failure))
    ended = line.get('result')
    return None if ended is None else str(ended)


def _incarnation(path: str, answer: engine_client.Answer) -> int:
    with _readable(path):
        return int(answer['incarnation'])


def _shape(answer: engine_client.Answer) -> expert_map.GroupShape:
    return expert_map.GroupShape(
        layers=int(answer['layers']),
        experts=int(answer['experts']),
        ranks=int(answer['ranks']),
        slots=int(answer['slots']),
    )
