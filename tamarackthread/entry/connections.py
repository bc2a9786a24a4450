"""Limit callers' connections and the time until their first request."""

from __future__ import annotations

import asyncio
import typing

from aiohttp import web

from tamarackthread.generated import settings as generated


class LimitedServer(web.Server):
    """Close connections over the limit and those without a request in time."""

    # A connection that sends its headers a byte at a time, or nothing, would
    # hold a slot for ever, and many of them would lock callers out.

    def __init__(
        self,
        handler: typing.Any,
        limits: generated.Entry,
        **options: typing.Any,
    ) -> None:
        """Serve requests with ``handler`` within the limits."""
        super().__init__(handler, **options)
        self._limits = limits
        self._header_timeouts: dict[
            web.RequestHandler, asyncio.TimerHandle
        ] = {}

    def note_request(self, handler: web.RequestHandler) -> None:
        """Stop the timeout of a connection that has sent a request head."""
        self._cancel_timeout(handler)

    def connection_made(
        self,
        handler: web.RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Accept a connection, or abort it when over the limit."""
        super().connection_made(handler, transport)
        if len(self.connections) > self._limits.connection_limit:
            transport.abort()
            return
        self._header_timeouts[handler] = asyncio.get_running_loop().call_later(
            self._limits.slow_body_seconds,
            transport.abort,
        )

    def connection_lost(
        self,
        handler: web.RequestHandler,
        exc: BaseException | None = None,
    ) -> None:
        """Remove a closed connection."""
        self._cancel_timeout(handler)
        super().connection_lost(handler, exc)

    def _cancel_timeout(self, handler: web.RequestHandler) -> None:
        timeout = self._header_timeouts.pop(handler, None)
        if timeout is not None:
            timeout.cancel()
