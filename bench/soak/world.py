"""Start a site's control hosts and entries as processes, and break them."""

from __future__ import annotations

import asyncio
import collections.abc
import json
import os
import pathlib
import secrets
import signal
import sys

import aiohttp
import attrs

from bench import cluster
from tamarackthread.platform import wire

CONTROLS = ('127.0.0.11', '127.0.0.12', '127.0.0.13')
ENTRIES = tuple(f'127.0.0.{number}' for number in range(21, 33))
FEW_ENTRIES = 2
ZONES = ('zone-0', 'zone-1')
READY_TRIES = 300
READY_PAUSE_SECONDS = 0.1
STOP_SECONDS = 20.0
KIBIBYTE = 1 << 10
_VARIABLE = 'TAMARACKTHREAD_CONFIG'
_FAILURES = (aiohttp.ClientError, OSError, TimeoutError)


class NotReady(Exception):
    """Site did not get ready in time."""


@attrs.define(eq=False)
class Node:
    """One process of the product on an address of its own."""

    role: str
    host: str
    settings: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    is_planned_stop: bool = False
    broken_at: float = 0


class World:
    """Hold the processes; each fault is over when its method returns."""

    def __init__(
        self, folder: pathlib.Path, entries: int = FEW_ENTRIES
    ) -> None:
        """Keep settings, data and output below a folder."""
        self._folder = folder
        self._http = cluster.free_port()
        self._link = cluster.free_port()
        self._callers = cluster.free_port()
        self._key = folder / 'link.key'
        self._key.write_text(secrets.token_hex(32))
        self.controls = [self._node('control', host) for host in CONTROLS]
        self.entries = [self._node('entry', host) for host in ENTRIES[:entries]]

    @property
    def control_addresses(self) -> list[str]:
        """List where control hosts take operators and targets."""
        return [f'{node.host}:{self._http}' for node in self.controls]

    @property
    def link_port(self) -> int:
        """Return where control hosts take links."""
        return self._link

    def callers_address(self, entry: Node) -> str:
        """Return where an entry takes callers."""
        return f'{entry.host}:{self._callers}'

    async def start(self) -> None:
        """Start all processes."""
        for node in (*self.controls, *self.entries):
            await self._start(node)

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until every entry says that it is ready."""
        for entry in self.entries:
            for _ in range(READY_TRIES):
                if await self.is_ready(session, entry):
                    break
                await asyncio.sleep(READY_PAUSE_SECONDS)
            else:
                raise NotReady(entry.host)
        for node in self.controls:
            # Only the first start of all forms the group.
            self._write(node, first_start=False)

    async def is_ready(
        self,
        session: aiohttp.ClientSession,
        entry: Node,
    ) -> bool:
        """Ask an entry as the platform does."""
        url = f'http://{entry.host}:{self._http}{wire.READY}'
        try:
            async with asyncio.timeout(1), session.get(url) as answer:
                return answer.status == 200
        except _FAILURES:
            return False

    async def kill(self, node: Node, down: float) -> None:
        """Kill a process and start it again after a while."""
        node.broken_at = _now()
        _process_of(node).kill()
        await _process_of(node).wait()
        await asyncio.sleep(down)
        await self._start(node)

    async def kill_all(self, nodes: collections.abc.Sequence[Node]) -> None:
        """Kill processes at the same moment and start all of them again."""
        for node in nodes:
            node.broken_at = _now()
            _process_of(node).kill()
        for node in nodes:
            await _process_of(node).wait()
        for node in nodes:
            await self._start(node)

    async def freeze(self, node: Node, seconds: float) -> None:
        """Stop a process for a while, with all its connections open."""
        node.broken_at = _now()
        _process_of(node).send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        _process_of(node).send_signal(signal.SIGCONT)
        node.broken_at = _now()

    async def stop_planned(self, node: Node) -> None:
        """Ask a process to stop, wait for its end and start it again."""
        node.is_planned_stop = True
        _process_of(node).terminate()
        async with asyncio.timeout(STOP_SECONDS):
            await _process_of(node).wait()
        node.is_planned_stop = False
        await self._start(node)

    async def close(self) -> None:
        """End all processes that were started here."""
        for node in (*self.controls, *self.entries):
            if node.process is None or node.process.returncode is not None:
                continue
            node.process.kill()
            await node.process.wait()

    def _node(self, role: str, host: str) -> Node:
        node = Node(role, host, self._folder / f'{host}.json')
        self._write(node, first_start=True)
        return node

    def _write(self, node: Node, first_start: bool) -> None:
        seeds = [f'{host}:{self._http}' for host in CONTROLS]
        site = {
            'seeds': seeds,
            'link_port': self._link,
            'metrics_address': f'{node.host}:0',
            'http_address': f'{node.host}:{self._http}',
            'announce_seconds': 0.6,
            'zones': list(ZONES),
        }
        body = {
            'role': node.role,
            'node': {'id': node.host, 'region': 'r', 'zone': 'zone-0'},
            'security': {'key_files': [str(self._key)]},
            'link': {'heartbeat_seconds': 0.25, 'timeout_seconds': 1.0},
            'logs': {'json': True},
            'site': site,
        }
        if node.role == 'control':
            site['first_start'] = first_start
            body['listen'] = {'host': node.host, 'port': self._link}
            body['control'] = {
                'data_folder': self._data_folder(node)[0],
                'drain_seconds': 3.0,
            }
        else:
            site['callers_address'] = f'{node.host}:{self._callers}'
            body['listen'] = {'host': node.host, 'port': 0}
            body['entry'] = {
                'health_grace_seconds': 0.6,
                'drain_seconds': 3.0,
            }
        node.settings.write_text(json.dumps(body))

    def _data_folder(self, node: Node) -> tuple[str, ...]:
        """Give control's data folder, which is its second word as well."""
        if node.role != 'control':
            return ()
        return (str(self._folder / f'{node.host}.data'),)

    async def _start(self, node: Node) -> None:
        output = node.settings.with_suffix('.log')
        with output.open('ab') as log:
            node.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'tamarackthread.platform',
                node.role,
                *self._data_folder(node),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, _VARIABLE: str(node.settings)},
            )


def peak_bytes(node: Node) -> int:
    """Return the most memory that a process has held, 0 if it has ended."""
    path = pathlib.Path(f'/proc/{_process_of(node).pid}/status')
    if _process_of(node).returncode is not None:
        return 0
    for line in path.read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * KIBIBYTE
    return 0


def _process_of(node: Node) -> asyncio.subprocess.Process:
    assert node.process is not None
    return node.process


def _now() -> float:
    return asyncio.get_running_loop().time()
