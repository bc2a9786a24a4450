"""Measure what the system adds to a request and how many tokens it relays.

One entry process stands before several agents and engines.  The same calls go
to the engines directly and through the system, in turns within one run.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import statistics
import sys
import tempfile
import typing

import aiohttp

from bench import cluster, operator

TOKEN = 'relay-token'
ENGINES = 4
STREAMS = 96
CLIENTS = 3
STEP_MS = '1'
PROBES = 400
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')


def run(quick: bool) -> dict[str, typing.Any]:
    """Run the experiment and return its figures."""
    return asyncio.run(_run(quick))


async def _run(quick: bool) -> dict[str, typing.Any]:
    with tempfile.TemporaryDirectory() as folder:
        running = cluster.Cluster(pathlib.Path(folder))
        try:
            return await _measure(running, quick)
        finally:
            await running.stop()


async def _measure(
    running: cluster.Cluster,
    quick: bool,
) -> dict[str, typing.Any]:
    await running.start_controls()
    urls = await _start_targets(running)
    entry = await running.start_entry('entry-0', 0, call_limit=4096)
    await _configure(running)
    address = entry.addresses['http']
    await _wait_served(address)
    probes = PROBES // 4 if quick else PROBES
    figures = await _added(running, address, probes)
    seconds = 3 if quick else 8
    direct = await _stream(urls, seconds)
    before = _cpu_seconds(entry.pid)
    through = await _stream([f'http://{address}'], seconds)
    spent = _cpu_seconds(entry.pid) - before
    slow = await _slow_callers(entry, address, quick)
    outcome = {
        **figures,
        'streams': STREAMS,
        'tokens_per_second': round(through['tokens'] / through['seconds']),
        'direct_tokens_per_second': round(
            direct['tokens'] / direct['seconds'],
        ),
        'entry_cpu_share': round(spent / through['seconds'], 3),
        'tokens_per_cpu_second': round(through['tokens'] / spent),
        **slow,
    }
    for name, value in outcome.items():
        print(f'{name:32} {value}')
    return outcome


async def _start_targets(running: cluster.Cluster) -> list[str]:
    urls = []
    for number in range(ENGINES):
        name = f'draft-{number}'
        engine = await running.start_engine(
            f'engine-{number}',
            '--step-ms',
            STEP_MS,
            '--slots',
            '64',
        )
        url = f'http://{engine.addresses["http"]}'
        urls.append(url)
        await running.start_agent(
            name,
            url,
            'drafting',
            0,
            kind='model',
            connection_limit=512,
        )
    plain = await running.start_engine(
        'stock',
        '--work-ms',
        '0',
        module='plain',
    )
    url = f'http://{plain.addresses["http"]}'
    await running.start_agent('stock-0', url, 'stock', 0)
    return urls


async def _configure(running: cluster.Cluster) -> None:
    acting = operator.Operator(running)
    await acting.put('profile', 'standard', {})
    await acting.put(
        'service',
        'drafting',
        {'profile': 'standard', 'kind': 'model', 'paths': ['/v1/']},
    )
    await acting.put(
        'service',
        'stock',
        {'profile': 'standard', 'paths': ['/stock']},
    )
    reply = await acting.put(
        'organisation',
        'bench',
        operator.organisation(TOKEN),
    )
    await acting.wait_in_force(reply.revision)
    acting.close()


async def _wait_served(address: str) -> None:
    headers = {'Authorization': f'Bearer {TOKEN}'}
    body = {'prompt': 'ready?', 'max_tokens': 1}
    async with aiohttp.ClientSession(headers=headers) as session:
        for _ in range(200):
            model = await session.post(
                f'http://{address}/v1/completions',
                json=body,
            )
            plain = await session.get(f'http://{address}/stock')
            if model.status == plain.status == 200:
                return
            await asyncio.sleep(0.1)
    raise cluster.ProcessFailed(f'not served: {model.status} {plain.status}')


async def _added(
    running: cluster.Cluster,
    address: str,
    probes: int,
) -> dict[str, float]:
    target = running.processes['stock'].addresses['http']
    headers = {'Authorization': f'Bearer {TOKEN}'}
    direct: list[float] = []
    through: list[float] = []
    async with aiohttp.ClientSession(headers=headers) as session:
        for _ in range(probes):
            direct.append(await _probe(session, f'http://{target}/stock'))
            through.append(await _probe(session, f'http://{address}/stock'))
    direct_p50 = statistics.median(direct)
    through_p50 = statistics.median(through)
    return {
        'direct_p50_ms': round(direct_p50, 3),
        'through_p50_ms': round(through_p50, 3),
        'added_p50_ms': round(through_p50 - direct_p50, 3),
        'through_p99_ms': round(statistics.quantiles(through, n=100)[98], 3),
    }


async def _probe(session: aiohttp.ClientSession, url: str) -> float:
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with session.get(url) as response:
        await response.read()
        if response.status != 200:
            raise cluster.ProcessFailed(f'{url}: {response.status}')
    return (loop.time() - started) * 1000


async def _stream(urls: list[str], seconds: int) -> dict[str, float]:
    clients = []
    for _ in range(CLIENTS):
        clients.append(
            await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'bench.streams',
                '--token',
                TOKEN,
                '--streams',
                str(STREAMS // CLIENTS),
                '--seconds',
                str(seconds),
                *urls,
                stdout=asyncio.subprocess.PIPE,
            ),
        )
    tokens = 0
    spent: float = 0
    for client in clients:
        printed, _ = await client.communicate()
        counted = json.loads(printed)
        tokens += counted['tokens']
        spent = max(spent, counted['seconds'])
    return {'tokens': tokens, 'seconds': spent}


async def _slow_callers(
    entry: cluster.Process,
    address: str,
    quick: bool,
) -> dict[str, float]:
    """Let callers ask for long answers and read nothing."""
    before = _resident_bytes(entry.pid)
    host, _, port = address.rpartition(':')
    writers = []
    for number in range(32):
        _, writer = await asyncio.open_connection(host, int(port), limit=1024)
        body = json.dumps(
            {'prompt': f'slow {number}', 'max_tokens': 200_000, 'stream': True},
        )
        writer.write(
            f'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {TOKEN}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'.encode(),
        )
        writers.append(writer)
    await asyncio.sleep(4 if quick else 12)
    grown = _resident_bytes(entry.pid) - before
    for writer in writers:
        writer.transport.abort()
    return {'slow_callers': 32, 'slow_callers_grown_bytes': grown}


def _cpu_seconds(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    values = fields.split()
    return (int(values[11]) + int(values[12])) / CLOCK_TICKS


def _resident_bytes(pid: int) -> int:
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')
