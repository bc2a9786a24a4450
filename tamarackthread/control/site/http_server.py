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
        self._runner = await bounded_server.start_application(
            'operators',
            self.application(site, targets, zones),
            address,
            bounds,
        )
        bound_host, bound_port = self._runner.addresses[0][:2]
        return f'{bound_host}:{bound_port}'

    async def close(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()
