"""Read the tokens per expert of a group from one rank's engine."""

from __future__ import annotations

import asyncio
import logging

import numpy

from tamarackthread.agent import balancer, engine_client, order_errors
from tamarackthread.policy import expert_map

TOKENS_PATH = '/ranks/tokens'
_PARSE_ERRORS = (KeyError, TypeError, ValueError, OverflowError)
_log = logging.getLogger('tamarackthread.balancer')


class EngineTokenSource(balancer.TokenSource):
    """Merge the windows since the last call into one."""

    def __init__(
        self,
        client: engine_client.EngineClient,
        shape: expert_map.GroupShape,
    ) -> None:
        """Start from the oldest window that the engine retains."""
        self._client = client
        self._shape = (shape.layers, shape.experts)
        self._sequence = 0

    async def windows(self) -> list[balancer.TokenWindow]:
        """Return one window, or none if there is no data or it is invalid."""
        path = f'{TOKENS_PATH}?after={self._sequence}'
        try:
            answer = await self._client.ask('GET', path)
        except order_errors.EngineFailed as exc:
            _log.warning(
                'balancer: token counts unavailable, %s %s', exc.code, exc
            )
            return []
        try:
            return self._merge(answer)
        except _PARSE_ERRORS as exc:
            _log.warning('balancer: invalid token counts, %r', exc)
            return []

    def _merge(
        self,
        answer: engine_client.Answer,
    ) -> list[balancer.TokenWindow]:
        now = asyncio.get_running_loop().time()
        total = numpy.zeros(self._shape)
        oldest_ms = float(0)
        for window in answer['windows']:
            counts = numpy.array(window['tokens'], dtype=float)
            if counts.shape != self._shape:
                raise ValueError(
                    f'token counts have shape {counts.shape}, not {self._shape}'
                )
            total += counts
            oldest_ms = max(oldest_ms, float(window['age_ms']))
        self._sequence = int(answer['sequence'])
        if not total.any():
            return []
        return [balancer.TokenWindow(total, now - oldest_ms / 1000)]
