"""Serve HTTP to clients that may send or hold more than there is room for."""

from __future__ import annotations

import asyncio
import logging
import socket
import typing

from aiohttp import web

from tamarackthread.shared import (
    bounded_protocol,
    connection_table,
    line_limit,
    listener,
    log_events,
)
from tamarackthread.shared.site import site_metrics

# Connections that wait in the kernel.
BACKLOG = 1024
SWEEP_SECONDS = 0.5
# The kernel's buffers of a connection count for the machine too.
KERNEL_BUFFER_BYTES = 32 << 10
LOG_SECONDS = 10.0
# aiohttp logs each request that it can't parse, with its traceback.
LIBRARY_LINES = 5
logging.getLogger('aiohttp.server').addFilter(
    line_limit.LineLimit(LIBRARY_LINES)
)
_log = logging.getLogger('tamarackthread.server')


class BoundedSite(web.BaseSite):
    """Accept connections at one address, within the bounds of a table."""

    def __init__(
        self,
        title: str,
        runner: web.BaseRunner,
        address: str,
        bounds: connection_table.Bounds,
        limits: bounded_protocol.Limits = connection_table.ClientLimits,
        **options: typing.Any,
    ) -> None:
        """Serve at HOST:PORT from ``start`` on.

        ``title`` says in metrics and log lines whom this serves; ``options`` are
        aiohttp's for its protocol.
        """
        super().__init__(runner)
        self._title = title
        self._address = address
        self._table = connection_table.ConnectionTable(
            bounds, asyncio.get_running_loop().time
        )
        self._parse_turns = bounded_protocol.ParseTurns()
        self._limits = limits
        self._options = options
        self._sweeping: asyncio.TimerHandle | None = None
        self._logged_at: float = 0

    @property
    def address(self) -> str:
        """Return HOST:PORT, with the port in use once started."""
        return self._address

    @property
    def name(self) -> str:
        """Return the URL."""
        return f'http://{self._address}'

    async def start(self) -> None:
        """Bind and accept."""
        await super().start()
        host, _, port = self._address.rpartition(':')
        bound = listener.bind(host, int(port))
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            # Accepted connections have the sizes of the listening socket.
            bound.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._connect, sock=bound, backlog=listener.ACCEPTED_AT_ONCE
        )
        # asyncio accepts as many at once as may wait.
        bound.listen(BACKLOG)
        self._address = listener.address_of(bound)

    async def stop(self) -> None:
        """Stop accepting."""
        if self._sweeping is not None:
            self._sweeping.cancel()
        await super().stop()

    def _connect(self) -> bounded_protocol.BoundedProtocol:
        server = typing.cast(web.Server, self._runner.server)
        loop = asyncio.get_running_loop()
        if self._sweeping is None:
            self._sweeping = loop.call_later(SWEEP_SECONDS, self._sweep)
        return bounded_protocol.BoundedProtocol(
            server,
            self._table,
            self._parse_turns,
            self._limits,
            loop=loop,
            **self._options,
        )

    def _sweep(self) -> None:
        """Close connections without progress, as long as there are any."""
        loop = asyncio.get_running_loop()
        self._sweeping = None
        self._table.close_expired(self._limits())
        site_metrics.CONNECTIONS.labels(self._title).set(self._table.count)
        held_bytes = self._table.held_bytes
        site_metrics.CLIENT_BYTES.labels(self._title).set(held_bytes)
        if self._table.count:
            self._sweeping = loop.call_later(SWEEP_SECONDS, self._sweep)
        if loop.time() >= self._logged_at + LOG_SECONDS:
            self._logged_at = loop.time()
            self._log_closed()

    def _log_closed(self) -> None:
        closed = self._table.take_closed()
        # Clients leave connections idle in ordinary times too.
        if not closed.keys() - {connection_table.Reason.IDLE.value}:
            return
        log_events.emit(
            _log,
            log_events.Event.CONNECTIONS_CLOSED,
            'server: closed connections of %s, %d others hold %d bytes',
            self._title,
            self._table.count,
            self._table.held_bytes,
            server=self._title,
            connections=self._table.count,
            held_bytes=self._table.held_bytes,
            **closed,
        )
