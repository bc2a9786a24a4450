"""Ask a rank's engine how many tokens each expert of its group got."""

from __future__ import annotations

import asyncio
import logging

import numpy

from tamarackthread.agent import balancer, engine_client, order_errors
from tamarackthread.policy import expert_map

TOKENS_PATH = '/ranks/tokens'
_UNREADABLE = (KeyError, TypeError, ValueError, OverflowError)
_log = logging.getLogger('tamarackthread.balancer')


class EngineTokenSource(balancer.TokenSource):
    """Sum the engine's windows since the last call to one."""

    def __init__(
        self,
        client: engine_client.EngineClient,
        shape: expert_map.GroupShape,
    ) -> None:
        """Begin with the oldest window that the engine still has."""
        self._client = client
        self._size = (shape.layers, shape.experts)
        self._sequence = 0

    async def windows(self) -> list[balancer.TokenWindow]:
        """Return one window, or none when nothing came or could be read."""
        path = f'{TOKENS_PATH}?after={self._sequence}'
        try:
            answer = await self._client.ask('GET', path)
        except order_errors.EngineFailed as exc:
            _log.warning('balancer: no token counts, %s %s', exc.code, exc)
            return []
        try:
            return self._summed(answer)
        except _UNREADABLE as exc:
            _log.warning('balancer: cannot read token counts, %r', exc)
            return []

    def _summed(
        self,
        answer: engine_client.Answer,
    ) -> list[balancer.TokenWindow]:
        now = asyncio.get_running_loop().time()
        total = numpy.zeros(self._size)
        oldest_ms = float(0)
        for window in answer['windows']:
            counts = numpy.array(window['tokens'], dtype=float)
            if counts.shape != self._size:
                raise ValueError(f'{counts.shape} is not {self._size}')
            total += counts
            oldest_ms = max(oldest_ms, float(window['age_ms']))
        self._sequence = int(answer['sequence'])
        if not total.any():
            return []
        return [balancer.TokenWindow(total, now - oldest_ms / 1000)]
