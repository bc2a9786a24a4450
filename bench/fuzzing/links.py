"""Fuzz live links: nonsense drops its sender and nobody else notices."""

from __future__ import annotations

import asyncio
import logging
import random
import typing

from bench.fuzzing import mutations, report, samples
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    errors,
    handshake,
    identity,
    link,
    link_pool,
    listener,
    stream,
    wire,
)

_KEY = b'k' * 32
_HOST = '127.0.0.1'
_LIMIT_SECONDS = 10.0
_FRAMES_EACH = 5
_CALL = b'c' * 16
_TAG = stream.frame_tag(_CALL)
_SENDABLE = tuple(kind for kind in wire.Kind if kind > wire.Kind.PROOF)


class BystanderHarmed(Exception):
    """A peer that sent nothing wrong was not answered."""


class Unhandled(Exception):
    """An exception reached the event loop or the log as a fault."""


class _Answering(link.Handler):
    async def on_request(
        self, held: link.Link, request: messages.Request
    ) -> messages.Reply:
        """Answer a status request."""
        if request.status is None:
            raise errors.RequestUnsupported
        return messages.Reply(done=messages.Done(value=1))

    async def on_stream(
        self, held: link.Link, call: typing.Any, opening: messages.OpenCall
    ) -> None:
        """Send back what comes."""
        received = await call.receive()
        while received is not None:
            await call.send(received)
            received = await call.receive()
        call.finish(messages.CallEnd(call_id=call.call_id))


class _Faults(logging.Handler):
    """Collect exceptions that were only logged."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.found: list[BaseException] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the record's exception."""
        if record.exc_info and record.exc_info[1] is not None:
            self.found.append(record.exc_info[1])

    def on_loop(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
    ) -> None:
        """Keep what reached the loop's exception handler."""
        found = context.get('exception') or Unhandled(context['message'])
        self.found.append(found)


def fuzz_greetings(seed: int, runs: int) -> report.Report:
    """Send mutated greetings."""
    counted = report.Report('greetings')
    asyncio.run(_Attack(counted, seed).greetings(runs))
    return counted


def fuzz_frames(seed: int, runs: int) -> report.Report:
    """Greet properly, then send mutated frames."""
    counted = report.Report('link frames')
    asyncio.run(_Attack(counted, seed).frames(runs))
    return counted


def _options(node: str) -> identity.LinkOptions:
    return identity.LinkOptions(
        identity.Identity(node=node, role=messages.Role.ENTRY), keys=(_KEY,)
    )


class _Attack:
    """Hold one listener, one bystander and the faults found."""

    def __init__(self, counted: report.Report, seed: int) -> None:
        self._counted = counted
        self._seed = seed
        self._faults = _Faults()
        self._address = ''

    async def greetings(self, runs: int) -> None:
        """Mutate the greeting of each connection."""
        await self._run(runs, self._mutated_greeting)

    async def frames(self, runs: int) -> None:
        """Mutate the frames after a proper greeting."""
        await self._run(runs, self._mutated_frames)

    async def _run(self, runs: int, attack: typing.Any) -> None:
        asyncio.get_running_loop().set_exception_handler(self._faults.on_loop)
        logger = logging.getLogger('tamarackthread')
        logger.addHandler(self._faults)
        logger.propagate = False
        accepting = listener.Listener(_options('b'), _Answering())
        self._address = await accepting.start(_HOST, 0)
        bystander = link_pool.LinkPool(_options('a'))
        for number in range(runs):
            with self._counted.run(number):
                await attack(random.Random(f'{self._seed} {number}'))
            with self._counted.run(number):
                await self._ask(bystander)
            self._collect(number)
        bystander.close()
        accepting.close()
        await asyncio.sleep(0)
        logger.removeHandler(self._faults)

    def _collect(self, number: int) -> None:
        for found in self._faults.found:
            if not isinstance(found, errors.CodedError):
                self._counted.fault(number, found)
        self._faults.found.clear()

    async def _ask(self, bystander: link_pool.LinkPool) -> None:
        request = messages.Request(status=messages.StatusRequest(revision=1))
        try:
            await bystander.request(self._address, request, _LIMIT_SECONDS)
        except errors.CodedError as exc:
            raise BystanderHarmed(exc.code) from exc

    async def _dial(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self._address.rpartition(':')
        return await asyncio.open_connection(host, int(port))

    async def _mutated_greeting(self, rng: random.Random) -> None:
        reader, writer = await self._dial()
        own = samples.message(rng, messages.Greeting)
        frame = wire.pack(wire.Kind.GREETING, wire.encode(own))
        writer.write(mutations.some(rng, frame))
        writer.write_eof()
        await _read_to_end(reader)
        writer.close()

    async def _mutated_frames(self, rng: random.Random) -> None:
        reader, writer = await self._dial()
        await handshake.authenticate(
            reader, writer, _options('evil'), dialer=True
        )
        opening = wire.encode(messages.OpenCall(call_id=_CALL))
        writer.write(wire.pack(wire.Kind.OPEN, opening, 1, 0, _TAG))
        for _ in range(rng.randint(1, _FRAMES_EACH)):
            writer.write(_frame(rng))
        writer.write_eof()
        await _read_to_end(reader)
        writer.close()


def _frame(rng: random.Random) -> bytes:
    kind = rng.choice(_SENDABLE)
    message = samples.message(rng, rng.choice(samples.kinds()))
    payload = wire.encode(message)
    if rng.random() < 0.5:
        payload = mutations.some(rng, payload)
    number = rng.choice((0, 1, 1, 1, 2, 3, rng.getrandbits(32)))
    frame = wire.pack(kind, payload, number, rng.randint(0, 2), _TAG)
    return mutations.some(rng, frame) if rng.random() < 0.2 else frame


async def _read_to_end(reader: asyncio.StreamReader) -> None:
    try:
        async with asyncio.timeout(_LIMIT_SECONDS):
            await reader.read()
    except TimeoutError as exc:
        raise BystanderHarmed('connection was left open') from exc
    except ConnectionError:
        return
