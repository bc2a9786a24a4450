"""Ask and order the platform's ranks."""

from __future__ import annotations

import functools
import json
import types
import typing

import aiohttp

from tamarackthread.control.site.maps import ranks
from tamarackthread.platform import wire

# Orders that may be on their way at once, to one or two groups.
ENCODED_ORDERS = 4
_OPERATIONS = types.MappingProxyType(
    {
        ranks.PREPARE: 'prepare',
        ranks.ARM: 'arm',
        ranks.DISARM: 'disarm',
        ranks.HOLD: 'hold',
        ranks.GO: 'go',
    },
)
_WITH_VERSION = frozenset((ranks.PREPARE, ranks.ARM, ranks.DISARM))
_LOST = (aiohttp.ClientError, OSError, TimeoutError, ValueError)
_UNREADABLE = (KeyError, TypeError, ValueError, AttributeError)
_Body = dict[str, typing.Any]


class PlatformRanks(ranks.Ranks):
    """Speak with ranks over their targets' HTTP."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._session: aiohttp.ClientSession | None = None

    async def report(self, rank: ranks.Rank) -> ranks.RankReport | None:
        """Ask a rank of itself."""
        body = await self._get(rank, wire.REPORT)
        try:
            return None if body is None else _report(body)
        except _UNREADABLE:
            return None

    async def counts(
        self,
        rank: ranks.Rank,
        sets: int,
    ) -> ranks.Counts | None:
        """Ask for the choices of experts."""
        body = await self._get(rank, wire.COUNTS)
        try:
            return None if body is None else _counts(body, sets)
        except _UNREADABLE:
            return None

    async def placement(
        self,
        rank: ranks.Rank,
    ) -> tuple[int, tuple[tuple[int, ...], ...]] | None:
        """Ask for the version in force and the rank's experts by set."""
        body = await self._get(rank, wire.LISTS)
        try:
            return None if body is None else _placement(body)
        except _UNREADABLE:
            return None

    async def order(
        self,
        rank: ranks.Rank,
        asked: ranks.Order,
    ) -> ranks.Outcome:
        """Send an order once."""
        url = f'http://{rank.address}{wire.ORDER}'
        headers = {
            wire.EXPECTED_TARGET: rank.target,
            'Content-Type': 'application/json',
        }
        body = _encoded(asked)
        try:
            async with self._opened().post(
                url,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=asked.patience),
            ) as answer:
                await answer.read()
                status = answer.status
        except _LOST:
            return ranks.Outcome.UNKNOWN
        if status in {200, 202}:
            return ranks.Outcome.DONE
        if status == wire.FENCED:
            return ranks.Outcome.OUTDATED
        return ranks.Outcome.REFUSED

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _get(self, rank: ranks.Rank, path: str) -> _Body | None:
        headers = {wire.EXPECTED_TARGET: rank.target}
        url = f'http://{rank.address}{path}'
        try:
            async with self._opened().get(url, headers=headers) as answer:
                body = await answer.read()
                return json.loads(body) if answer.status == 200 else None
        except _LOST:
            return None

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            # Connections that are kept would each hold one of the few that a
            # target takes.
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=4),
                timeout=aiohttp.ClientTimeout(total=ranks.PATIENCE_SECONDS),
            )
        return self._session


def _report(body: _Body) -> ranks.RankReport:
    group = body['group']
    armed = body.get('armed') or None
    return ranks.RankReport(
        group=str(group['name']),
        epoch=int(group['epoch']),
        rank=int(group['rank']),
        size=int(body.get('size') or group['size']),
        is_open=group['state'] == 'open',
        step=int(body.get('step') or 0),
        version=_version(body.get('map')) or 0,
        prepared=_version(body.get('prepared')),
        armed=(
            None
            if armed is None
            else ranks.Armed(int(armed['version']), int(armed['step']))
        ),
        held=_step(body.get('held')),
        pace=float(body.get('pace') or 1),
        running=int(body.get('running') or 0),
        waiting=int(body.get('waiting') or 0),
    )


def _version(found: typing.Any) -> int | None:
    """Read a version, alone or with what belongs to it."""
    if isinstance(found, dict):
        found = found['version']
    return None if found is None else int(found)


def _step(found: typing.Any) -> int | None:
    if isinstance(found, dict):
        found = found['step']
    return None if found is None else int(found)


def _counts(body: _Body, sets: int) -> ranks.Counts:
    """Read the counts, which stand in one row, set after set."""
    row = [int(count) for count in body['counts']]
    size = len(row) // sets
    by_set = tuple(
        tuple(row[first : first + size])
        for first in range(0, size * sets, size)
    )
    return ranks.Counts(int(body['epoch']), by_set)


def _placement(body: _Body) -> tuple[int, tuple[tuple[int, ...], ...]]:
    held = body['map']
    return int(held['version']), tuple(
        tuple(int(expert) for expert in row) for row in held['experts']
    )


@functools.lru_cache(ENCODED_ORDERS)
def _encoded(asked: ranks.Order) -> bytes:
    """Encode an order, which goes to all ranks of a group alike.

    The map of 63 ranks takes a millisecond to encode; once for each rank was
    most of the time until all had it.
    """
    # Without blanks a map is a fifth shorter, and its way to all ranks too.
    return json.dumps(_order(asked), separators=(',', ':')).encode()


def _order(asked: ranks.Order) -> _Body:
    body: _Body = {
        'operation': _OPERATIONS[asked.operation],
        'epoch': asked.epoch,
        'fencing-token': asked.fence,
    }
    if asked.operation in _WITH_VERSION:
        body['version'] = asked.version
    if asked.operation == ranks.PREPARE:
        body['map'] = asked.placement
    elif asked.operation != ranks.DISARM:
        body['step'] = asked.step
    return body
