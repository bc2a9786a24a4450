"""Emulate a plain service: ``python -m bench.engines.plain``.

Any path runs once for each request and is written to the journal before the
answer goes out, as an order that has been booked would be.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib

from aiohttp import web

from bench.engines import journal, replica


class PlainService:
    """Book each request and answer with what was booked."""

    def __init__(self, record: journal.Journal, work_seconds: float) -> None:
        """Keep the journal; each request takes ``work_seconds``."""
        self._journal = record
        self._work_seconds = work_seconds
        self._running = 0
        self._done = 0

    def application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application()
        app.router.add_get('/load', self._load)
        app.router.add_get('/health', self._health)
        app.router.add_route('*', '/{path:.*}', self._book)
        return app

    async def _book(self, request: web.Request) -> web.Response:
        body = await request.text()
        call = request.headers.get(replica.CALL_HEADER, '')
        self._journal.record(
            'start',
            call=call,
            path=request.path,
            method=request.method,
            key=request.headers.get('Idempotency-Key', ''),
            prompt=body,
        )
        self._running += 1
        try:
            await asyncio.sleep(self._work_seconds)
        finally:
            self._running -= 1
        self._done += 1
        self._journal.record('end', call=call)
        return web.json_response({'booked': body, 'path': request.path})

    async def _load(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'running': self._running,
                'queued': 0,
                'batch_slots': 64,
                'queued_tokens': 0,
                'step_ms': self._work_seconds * 1000,
                'tokens': self._done,
            },
        )

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text='ok')


def main() -> None:
    """Serve one plain service as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--journal', type=pathlib.Path)
    parser.add_argument('--work-ms', type=float, default=5)
    arguments = parser.parse_args()
    service = PlainService(
        journal.Journal(arguments.journal),
        arguments.work_ms / 1000,
    )
    asyncio.run(replica.serve(service.application(), arguments.port))


if __name__ == '__main__':
    main()
