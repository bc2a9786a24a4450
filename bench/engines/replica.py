"""Emulate a model engine over HTTP: ``python -m bench.engines.replica``.

It speaks the chat and text completion paths with server-sent events, resumes
a stream at a position, cancels, honours priorities, and reports its load.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import signal

from aiohttp import web

from bench.engines import batch, journal

DONE = b'data: [DONE]\n\n'
RESUME_HEADER = 'X-Resume-Events'
CALL_HEADER = 'X-Call-Id'
PRIORITY_HEADER = 'X-Priority'


class Replica:
    """Serve one emulated engine."""

    def __init__(
        self,
        options: batch.EngineOptions,
        record: journal.Journal,
    ) -> None:
        """Keep the batch and the journal; ``application`` serves them."""
        self._batch = batch.Batch(options)
        self._options = options
        self._journal = record
        self._calls: dict[str, batch.Running] = {}
        self._exported: dict[str, int] = {}

    def application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application()
        app.router.add_post('/v1/chat/completions', self._complete)
        app.router.add_post('/v1/completions', self._complete)
        app.router.add_get('/load', self._load)
        app.router.add_get('/health', self._health)
        app.router.add_post('/cancel', self._cancel)
        app.router.add_post('/stall', self._stall)
        app.router.add_post('/kv/export', self._export)
        app.router.add_post('/kv/import', self._import)
        app.cleanup_ctx.append(self._stepping)
        return app

    async def _stepping(self, app: web.Application):
        stepping = asyncio.create_task(self._batch.run())
        yield
        stepping.cancel()

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        call = self._call_of(request, body)
        self._journal.record(
            'start',
            call=call.call_id,
            resume=call.position,
            path=request.path,
            key=request.headers.get('Idempotency-Key', ''),
            prompt=call.prompt,
        )
        self._calls[call.call_id] = call
        self._batch.submit(call)
        try:
            return await self._answer(request, call, body)
        finally:
            call.cancelled = True
            self._calls.pop(call.call_id, None)

    def _call_of(self, request: web.Request, body: dict) -> batch.Running:
        messages = body.get('messages')
        prompt = body.get('prompt', '')
        if messages:
            prompt = '\n'.join(str(item.get('content')) for item in messages)
        return batch.Running(
            call_id=request.headers.get(CALL_HEADER, ''),
            prompt=prompt,
            tokens=int(body.get('max_tokens', 16)),
            priority=int(request.headers.get(PRIORITY_HEADER, '1')),
            position=int(request.headers.get(RESUME_HEADER, '0')),
        )

    async def _answer(
        self,
        request: web.Request,
        call: batch.Running,
        body: dict,
    ) -> web.StreamResponse:
        if not body.get('stream'):
            return await self._whole(call)
        response = web.StreamResponse(
            headers={'Content-Type': 'text/event-stream'},
        )
        await response.prepare(request)
        while True:
            token = await call.out.get()
            if token is None:
                break
            await response.write(_event(token))
        if call.position >= call.tokens:
            await response.write(DONE)
            self._journal.record('end', call=call.call_id)
            await response.write_eof()
        elif request.transport is not None:
            request.transport.abort()
        return response

    async def _whole(self, call: batch.Running) -> web.Response:
        tokens = []
        while True:
            token = await call.out.get()
            if token is None:
                break
            tokens.append(token)
        self._journal.record('end', call=call.call_id)
        text = ''.join(tokens)
        choice = {'index': 0, 'text': text, 'finish_reason': 'stop'}
        return web.json_response({'choices': [choice]})

    async def _load(self, request: web.Request) -> web.Response:
        last_event, events = self._batch.take_events()
        return web.json_response(
            {
                'running': self._batch.running,
                'queued': self._batch.queued,
                'batch_slots': self._options.slots,
                'queued_tokens': self._batch.queued_tokens,
                'step_ms': self._options.step_seconds * 1000,
                'tokens': self._batch.tokens,
                'prefix_sequence': last_event,
                'prefixes': events,
            },
        )

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text='ok')

    async def _cancel(self, request: web.Request) -> web.Response:
        body = await request.json()
        call = self._calls.get(body.get('call', ''))
        if call is not None:
            call.cancelled = True
        return web.json_response({'cancelled': call is not None})

    async def _stall(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._batch.stall(bool(body.get('stalled')))
        return web.json_response({'ok': True})

    async def _export(self, request: web.Request) -> web.Response:
        body = await request.json()
        call = self._calls.get(body.get('call', ''))
        position = -1 if call is None else call.position
        return web.json_response({'position': position})

    async def _import(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._exported[str(body.get('call'))] = int(body.get('position', 0))
        return web.json_response({'ok': True})


def _event(token: str) -> bytes:
    choice = {'index': 0, 'delta': {'content': token}}
    return f'data: {json.dumps({"choices": [choice]})}\n\n'.encode()


async def serve(app: web.Application, port: int) -> None:
    """Serve until SIGTERM and print the picked address as one JSON line."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', port)
    await site.start()
    picked = runner.addresses[0][1]
    print(json.dumps({'http': f'127.0.0.1:{picked}'}), flush=True)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    await stopping.wait()
    await runner.cleanup()


def main() -> None:
    """Serve one emulated engine as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--journal', type=pathlib.Path)
    parser.add_argument('--step-ms', type=float, default=6)
    parser.add_argument('--slots', type=int, default=32)
    arguments = parser.parse_args()
    options = batch.EngineOptions(
        step_seconds=arguments.step_ms / 1000,
        slots=arguments.slots,
    )
    replica = Replica(options, journal.Journal(arguments.journal))
    asyncio.run(serve(replica.application(), arguments.port))


if __name__ == '__main__':
    main()
