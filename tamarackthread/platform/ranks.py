"""Read the state of the platform's ranks and send them orders."""

from __future__ import annotations

import collections.abc
import functools
import json
import types
import typing

from tamarackthread.control.site.maps import rank_client, ranks
from tamarackthread.platform import wire
from tamarackthread.shared import fields

# Encoded orders to cache: those in flight to one or two groups.
CACHED_ORDERS = 4
# A group stalls ``STALL_SECONDS`` per ``STALL_VALUES`` values read of a rank.
STALL_SECONDS = 0.0005
STALL_VALUES = 400
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
_Body = fields.JsonObject
_Parsed = typing.TypeVar('_Parsed')


class PlatformRanks(ranks.Ranks):
    """Access ranks over their targets' HTTP."""

    def __init__(self) -> None:
        """Prepare the client; connections open on first use."""
        self._asking = rank_client.RankClient()

    async def report(self, rank: ranks.Rank) -> ranks.RankReport | None:
        """Read a rank's status, ``None`` if unavailable."""
        return await self._read(rank, wire.REPORT, _report)

    async def read_back(self, rank: ranks.Rank) -> ranks.RankReport | None:
        """Read a rank's status on a connection of its own."""
        return await self._read(rank, wire.REPORT, _report, is_pooled=False)

    async def counts(self, rank: ranks.Rank, sets: int) -> ranks.Counts | None:
        """Read how often each expert was chosen, ``None`` if unavailable."""
        parse = functools.partial(_counts, sets=sets)
        return await self._read(rank, wire.COUNTS, parse)

    async def placement(self, rank: ranks.Rank) -> ranks.Placement | None:
        """Read the map version and the rank's experts by set."""
        return await self._read(rank, wire.PLACEMENT, _placement)

    def stall_seconds(self, numbers: int) -> float:
        """Return how long a group stalls while ``numbers`` values are read."""
        return numbers * STALL_SECONDS / STALL_VALUES

    async def order(
        self,
        rank: ranks.Rank,
        asked: ranks.Order,
    ) -> ranks.Outcome:
        """Send an order once, without retries."""
        status = await self._asking.post(
            f'http://{rank.address}{wire.ORDER}',
            {wire.EXPECTED_TARGET: rank.target},
            _encoded(asked),
            asked.timeout_seconds,
        )
        if status is None:
            return ranks.Outcome.UNKNOWN
        if status in {200, 202}:
            return ranks.Outcome.DONE
        if status == wire.FENCED:
            return ranks.Outcome.OUTDATED
        return ranks.Outcome.REFUSED

    async def close(self) -> None:
        """Close all connections."""
        await self._asking.close()

    async def _read(
        self,
        rank: ranks.Rank,
        path: str,
        parse: collections.abc.Callable[[_Body], _Parsed],
        *,
        is_pooled: bool = True,
    ) -> _Parsed | None:
        """Read and parse a rank's answer, ``None`` if that fails."""
        headers = {wire.EXPECTED_TARGET: rank.target}
        url = f'http://{rank.address}{path}'
        body = await self._asking.get(url, headers, is_pooled=is_pooled)
        try:
            return None if body is None else parse(body)
        except fields.MISREAD_ERRORS:
            return None


def _report(body: _Body) -> ranks.RankReport:
    """Parse a status; ``size`` may be beside ``group`` instead of in it."""
    group = fields.json_object(body, 'group')
    armed = body.get('armed')
    return ranks.RankReport(
        group=fields.text(group, 'name'),
        epoch=fields.integer(group, 'epoch'),
        rank=fields.integer(group, 'rank'),
        size=fields.integer(group if 'size' in group else body, 'size'),
        is_open=group['state'] == 'open',
        step=fields.integer(body, 'step', default=0),
        version=fields.optional_integer(body, 'map', 'version') or 0,
        prepared=fields.optional_integer(body, 'prepared', 'version'),
        armed=(
            ranks.Armed(
                fields.integer(armed, 'version'), fields.integer(armed, 'step')
            )
            if armed
            else None
        ),
        held=fields.optional_integer(body, 'held', 'step'),
        pace=fields.number(body, 'pace', 0) or 1,
        running=fields.integer(body, 'running', default=0),
        waiting=fields.integer(body, 'waiting', default=0),
        born=fields.integer(body, wire.BORN, default=0),
    )


def _counts(body: _Body, sets: int) -> ranks.Counts:
    """Split the flat list of counts by set."""
    row = [int(count) for count in body['counts']]
    size = len(row) // sets
    by_set = tuple(
        tuple(row[first : first + size])
        for first in range(0, size * sets, size)
    )
    return ranks.Counts(
        fields.integer(body, 'epoch'),
        by_set,
        fields.integer(body, wire.BORN, default=0),
    )


def _placement(body: _Body) -> ranks.Placement:
    held = fields.json_object(body, 'map')
    return fields.integer(held, 'version'), tuple(
        tuple(int(expert) for expert in row) for row in held['experts']
    )


@functools.lru_cache(CACHED_ORDERS)
def _encoded(asked: ranks.Order) -> bytes:
    """Encode compactly; cached, as all ranks of a group get the same order."""
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
