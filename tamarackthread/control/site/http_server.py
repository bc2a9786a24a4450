"""Serve operators and targets over HTTP at a control host."""

from __future__ import annotations

import abc

from aiohttp import web

from tamarackthread.control.site import announcing, api, evacuation
from tamarackthread.shared import (
    bounded_server,
    connection_table,
    process_bounds,
)


# An order may come over a narrow link.
BODY_SECONDS = 30.0
# Stopping takes longer than a change or a read.
SHUTDOWN_SECONDS = 1.0


def _client_limits() -> connection_table.ClientLimits:
    return connection_table.ClientLimits(body_seconds=BODY_SECONDS)


class HttpServer(abc.ABC):
    """HTTP interface of a control host; its paths are a platform's."""

    def __init__(self) -> None:
        """Serve from ``open`` on."""
        self._runner: web.AppRunner | None = None

    @abc.abstractmethod
    def application(
        self,
        site: api.SiteApi,
        targets: announcing.Announcing,
        zones: evacuation.Evacuation,
    ) -> web.Application:
        """Return the handlers of all paths."""

    async def open(
        self,
        address: str,
        site: api.SiteApi,
        targets: announcing.Announcing,
        zones: evacuation.Evacuation,
        bounds: connection_table.Bounds = process_bounds.SMALL,
    ) -> str:
        """Serve at HOST:PORT within bounds and return the address in use."""
        self._runner = web.AppRunner(
            self.application(site, targets, zones),
            handle_signals=False,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        await self._runner.setup()
        served = bounded_server.BoundedSite(
            'operators', self._runner, address, bounds, _client_limits
        )
        await served.start()
        return served.address

    async def close(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()
