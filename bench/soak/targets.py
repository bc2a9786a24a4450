"""A target that announces itself and answers calls."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import random

import aiohttp
from aiohttp import web

from bench.soak import ledger
from tamarackthread.platform import wire
from tamarackthread.shared import connection_reset

BEAT_SECONDS = 0.6
ANSWER_SECONDS = 1.0
WORK_SECONDS = 0.03
SLOTS = 8
# After a crash a target is cold for so long.
COLD_SECONDS = 2.0
# Shares of answers with neither a length nor chunks, and of those cut short.
UNFRAMED_SHARE = 0.3
CUT_SHARE = 0.3
CRASHING = 'crash'
CRASHING_PART = 'bad'
_FAILURES = (aiohttp.ClientError, OSError, TimeoutError)


class Target:
    """Answer calls and beat; ``renew`` is a crash and a new start."""

    def __init__(
        self,
        service: str,
        controls: collections.abc.Sequence[str],
        seen: ledger.Ledger,
        rng: random.Random,
        zone: str,
    ) -> None:
        """Be known to nobody until ``start``."""
        self._zone = zone
        self._cold_until: float = 0
        self._service = service
        self._controls = controls
        self._seen = seen
        self._rng = rng
        self._starts = 0
        self._sequence = 0
        self.is_silent = False
        self.is_full = False
        self.renew()

    async def start(self) -> None:
        """Serve at an address that the kernel picks."""
        self._runner = web.ServerRunner(web.Server(self._answer))
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', 0).start()
        host, port = self._runner.addresses[0][:2]
        self._address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the address."""
        await self._runner.cleanup()

    def renew(self) -> None:
        """Be a new start at the same address."""
        self._starts += 1
        self._name = f'{self._service}-{id(self)}-{self._starts}'

    def crash(self) -> None:
        """Come back as a new start, cold."""
        self.renew()
        self._cold_until = _now() + COLD_SECONDS

    async def beat(self, session: aiohttp.ClientSession) -> None:
        """Announce this target for ever, to the next host after a failure."""
        while True:
            if not self.is_silent:
                await self._announce(session)
            await asyncio.sleep(BEAT_SECONDS)

    async def _announce(self, session: aiohttp.ClientSession) -> None:
        self._sequence += 1
        path = wire.HEARTBEAT.replace('{target}', self._name)
        body = {
            'service': self._service,
            'address': self._address,
            'zone': self._zone,
            'cold-remaining-ms': int(1000 * max(0, self._cold_until - _now())),
            'slots': SLOTS,
            'state': 'ready',
            'sequence': self._sequence,
        }
        hosts = list(self._controls)
        self._rng.shuffle(hosts)
        for host in hosts:
            url = f'http://{host}{path}'
            try:
                async with (
                    asyncio.timeout(ANSWER_SECONDS),
                    session.post(url, json=body) as answer,
                ):
                    await answer.read()
            except _FAILURES:
                continue
            return

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        identity = request.headers.get(wire.CALL_ID, '')
        self._seen.arrived(identity, _now())
        if request.headers.get(wire.EXPECTED_TARGET) != self._name:
            return web.Response(status=wire.MISDIRECTED)
        if self.is_full:
            headers = {wire.NOT_EXECUTED: '1', wire.CALL_ID: identity}
            return web.Response(status=wire.REFUSAL_STATUS, headers=headers)
        self._seen.ran(identity)
        now = _now()
        self._seen.reached(self._zone, identity, now)
        if now < self._cold_until:
            self._seen.reached_cold(self._name, now)
        body = await request.read()
        if body.decode() == CRASHING:
            self._seen.crashed(request.path, now)
            self.crash()
            request.transport.abort()
        headers = {wire.CALL_ID: identity, wire.SIGNATURE: 's'}
        if f',{CRASHING_PART}:' in request.headers.get(wire.PROMPT, ''):
            return await self._crash_after_head(request, headers)
        draw = random.Random(f'{identity} {self._name}')
        if draw.random() < UNFRAMED_SHARE:
            return await self._unframed(request, identity, headers, draw)
        if request.path.startswith('/stream/'):
            return await self._stream(request, identity, headers)
        await asyncio.sleep(WORK_SECONDS)
        kind = ledger.Kind.ONCE
        return web.Response(
            text=ledger.whole_body(identity, kind), headers=headers
        )

    async def _crash_after_head(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        self._seen.crashed_by_part(CRASHING_PART, _now())
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        self.crash()
        request.transport.abort()
        return response

    async def _unframed(
        self,
        request: web.BaseRequest,
        identity: str,
        headers: dict[str, str],
        draw: random.Random,
    ) -> web.StreamResponse:
        """Answer without a length or chunks, and maybe break off."""
        is_stream = request.path.startswith('/stream/')
        kind = ledger.Kind.STREAM if is_stream else ledger.Kind.ONCE
        first = int(request.headers.get(wire.LAST_EVENT_ID) or 0) + 1
        body = ledger.whole_body(identity, kind).encode()
        body = body[max(0, body.find(b'id: %d\n' % first)) :]
        is_cut = draw.random() < CUT_SHARE
        if is_cut:
            self._seen.broke_off(identity)
            body = body[: draw.randrange(1, len(body))]
            # Nothing tells that a stream which ends between events was cut.
            body = body.removesuffix(b'\n\n') if is_stream else body
        transport = request.transport
        head = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
        await asyncio.sleep(WORK_SECONDS)
        transport.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode())
        transport.write(body)
        if is_cut and not is_stream:
            # Only a reset tells that a plain answer was cut.
            connection_reset.reset(transport)
        transport.close()
        return web.Response()

    async def _stream(
        self,
        request: web.BaseRequest,
        identity: str,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        first = int(request.headers.get(wire.LAST_EVENT_ID) or 0) + 1
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        # A caller that has left, or an entry that was killed, ends the stream.
        with contextlib.suppress(ConnectionError):
            for number in range(first, ledger.EVENTS + 1):
                await asyncio.sleep(WORK_SECONDS)
                event = f'id: {number}\ndata: {identity}\n\n'
                await response.write(event.encode())
            await response.write_eof()
        return response


def _now() -> float:
    return asyncio.get_running_loop().time()
