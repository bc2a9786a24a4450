"""Serve the metrics of a process over HTTP."""

from __future__ import annotations

from aiohttp import web

from tamarackthread.shared import bounded_server, process_bounds
from tamarackthread.shared.site import site_metrics

PATH = '/metrics'


class MetricsServer:
    """HTTP server of the metrics."""

    def __init__(self) -> None:
        """Serve from ``start`` on."""
        self._runner: web.ServerRunner | None = None

    async def start(self, address: str) -> None:
        """Serve at HOST:PORT, or not at all if the address is empty."""
        if not address:
            return
        self._runner = web.ServerRunner(
            web.Server(_answer), handle_signals=False
        )
        await self._runner.setup()
        site = bounded_server.BoundedSite(
            'metrics', self._runner, address, process_bounds.FEW
        )
        await site.start()

    async def stop(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    if request.path != PATH:
        return web.Response(status=404)
    return web.Response(body=site_metrics.render(), content_type='text/plain')
