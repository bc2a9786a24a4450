"""Bound what callers' connections may cost before a request has come."""

from __future__ import annotations

import asyncio
import typing

from aiohttp import web

from tamarackthread.generated import settings as generated


class GuardedServer(web.Server):
    """Close connections beyond the limit and those that send no request.

    A connection that sends its headers a byte at a time, or nothing, holds a
    slot for ever.  Many of them would lock callers out; the limit keeps their
    number and the time keeps their stay short.
    """

    def __init__(
        self,
        handler: typing.Any,
        limits: generated.Entry,
        **options: typing.Any,
    ) -> None:
        """Serve with ``handler`` within the limits."""
        super().__init__(handler, **options)
        self._limits = limits
        self._silent: dict[web.RequestHandler, asyncio.TimerHandle] = {}

    def note_request(self, handler: web.RequestHandler) -> None:
        """Note that a whole request head has come on a connection."""
        self._forget(handler)

    def connection_made(
        self,
        handler: web.RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Take a connection, or close it when there are too many."""
        super().connection_made(handler, transport)
        if len(self.connections) > self._limits.connection_limit:
            transport.abort()
            return
        self._silent[handler] = asyncio.get_running_loop().call_later(
            self._limits.slow_body_seconds,
            transport.abort,
        )

    def connection_lost(
        self,
        handler: web.RequestHandler,
        exc: BaseException | None = None,
    ) -> None:
        """Let a connection go."""
        self._forget(handler)
        super().connection_lost(handler, exc)

    def _forget(self, handler: web.RequestHandler) -> None:
        closing = self._silent.pop(handler, None)
        if closing is not None:
            closing.cancel()
