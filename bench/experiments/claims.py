"""Measure what a claim costs: processor time, memory, and a caller's time.

The machine is measured alone.  The time that a key adds is measured on a
cluster of real processes, keyed and keyless orders in turns within one run.
"""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import secrets
import statistics
import tempfile
import time
import tracemalloc
import typing

import aiohttp

from bench import load
from bench.faults import callers, stand
from tamarackthread.control import claims
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_keys, claim_times, errors, wire

COUNT = 20_000
QUICK_COUNT = 4_000
TURNS = 300
QUICK_TURNS = 60
CONCURRENT = 16
BATCHES = (1, 8, 64)
ANSWER = b'x' * 200
ROOM = claims.Limits(claims=1_000_000, record_bytes=1 << 32)


def run(quick: bool) -> dict[str, typing.Any]:
    """Run the experiment and return its figures."""
    figures = _machine(QUICK_COUNT if quick else COUNT)
    figures.update(asyncio.run(_calls(QUICK_TURNS if quick else TURNS)))
    for name, value in figures.items():
        print(f'{name:32} {value}')
    return figures


def _machine(count: int) -> dict[str, typing.Any]:
    keys = [secrets.token_bytes(claim_keys.KEY_BYTES) for _ in range(count)]
    figures: dict[str, typing.Any] = {'claims': count}
    for size in BATCHES:
        machine = claims.ClaimsMachine(ROOM)
        commands = _commands([_claim(key) for key in keys], size)
        figures[f'claim_us_batch_{size}'] = _apply(machine, commands, count)
    commands = _commands([_finish(machine, key) for key in keys], BATCHES[-1])
    figures['finish_us'] = _apply(machine, commands, count)
    began = time.process_time()
    snapshot = machine.snapshot()
    taken = time.process_time()
    machine.restore(snapshot)
    figures['snapshot_ms'] = _milliseconds(taken - began)
    figures['restore_ms'] = _milliseconds(time.process_time() - taken)
    figures['snapshot_bytes_per_claim'] = len(snapshot) // count
    figures['memory_bytes_per_claim'] = _memory(keys)
    counted = machine.record_bytes // count
    figures['counted_bytes_per_claim'] = counted
    return figures


def _memory(keys: list[bytes]) -> int:
    tracemalloc.start()
    machine = claims.ClaimsMachine(ROOM)
    before = tracemalloc.get_traced_memory()[0]
    for number, key in enumerate(keys):
        machine.apply(number, _command([_claim(key)], number))
        machine.apply(number, _command([_finish(machine, key)], number))
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return grown // len(keys)


def _apply(
    machine: claims.ClaimsMachine,
    commands: list[bytes],
    count: int,
) -> float:
    began = time.process_time()
    for index, command in enumerate(commands):
        machine.apply(index, command)
    spent = time.process_time() - began
    return round(spent / count * 1_000_000, 1)


def _commands(
    operations: list[messages.ClaimOperation],
    size: int,
) -> list[bytes]:
    return [
        _command(operations[start : start + size], start)
        for start in range(0, len(operations), size)
    ]


def _command(operations: list[messages.ClaimOperation], stamp: int) -> bytes:
    return wire.encode(
        messages.ClaimCommand(
            proposer='control-0/1',
            stamp_ms=stamp,
            operations=operations,
        ),
    )


def _claim(key: bytes) -> messages.ClaimOperation:
    handover = messages.Handover(
        target='order-17',
        address='10.1.2.3:7400',
        incarnation=1_700_000_000_000_000,
        until_ms=100_000_000,
    )
    claim = messages.ClaimRequest(
        shard='claims-0',
        key=key,
        claim=secrets.token_bytes(claim_keys.KEY_BYTES),
        holder='entry-12',
        keep_ms=claim_times.DEFAULT_TTL_MS,
        deadline_ms=30_000,
        digest=secrets.token_bytes(claim_keys.KEY_BYTES),
        handover=handover,
    )
    return messages.ClaimOperation(claim=claim)


def _finish(
    machine: claims.ClaimsMachine,
    key: bytes,
) -> messages.ClaimOperation:
    header = messages.Header(name='Content-Type', value='application/json')
    finish = messages.ClaimFinish(
        shard='claims-0',
        key=key,
        state=messages.ClaimState.COMPLETE,
        status=200,
        headers=[header],
        body=ANSWER,
        fence=machine.lookup(key).fence,
        move=0,
    )
    return messages.ClaimOperation(finish=finish)


async def _calls(turns: int) -> dict[str, typing.Any]:
    with tempfile.TemporaryDirectory() as folder:
        subject = stand.Stand(pathlib.Path(folder))
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            try:
                return await _measure(subject, session, turns)
            finally:
                await subject.stop()


async def _measure(
    subject: stand.Stand,
    session: aiohttp.ClientSession,
    turns: int,
) -> dict[str, typing.Any]:
    await subject.start()
    caller = load.Caller(session, callers.TOKENS[0])
    address = subject.entry_address(subject.entries[0])
    numbers = itertools.count()
    spent: dict[bool, list[float]] = {True: [], False: []}
    for turn in range(2 * turns):
        is_keyed = turn % 2 == 0
        taken = await _order(caller, address, next(numbers), is_keyed)
        spent[is_keyed].append(taken)
    loop = asyncio.get_running_loop()
    began = loop.time()
    for _ in range(turns // 10):
        waves = [
            _order(caller, address, next(numbers), is_keyed=True)
            for _ in range(CONCURRENT)
        ]
        await asyncio.gather(*waves)
    rate = turns // 10 * CONCURRENT / (loop.time() - began)
    keyed, keyless = spent[True], spent[False]
    return {
        'keyed_p50_ms': _milliseconds(statistics.median(keyed)),
        'keyless_p50_ms': _milliseconds(statistics.median(keyless)),
        'added_p50_ms': _milliseconds(
            statistics.median(keyed) - statistics.median(keyless),
        ),
        'keyed_p99_ms': _milliseconds(statistics.quantiles(keyed, n=100)[98]),
        'keyed_calls_per_second': round(rate),
    }


async def _order(
    caller: load.Caller,
    address: str,
    number: int,
    is_keyed: bool,
) -> float:
    headers = {'Idempotency_Key': f'order-{number}'} if is_keyed else {}
    answer = await caller.plain(
        address,
        'POST',
        '/stock/order',
        f'feed {number}',
        **headers,
    )
    if answer.outcome != load.Outcome.COMPLETE:
        raise errors.PeerFailure(f'{answer.code} {answer.text}')
    return answer.ended_at - answer.started_at


def _milliseconds(seconds: float) -> float:
    return round(seconds * 1000, 2)
