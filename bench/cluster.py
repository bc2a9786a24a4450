"""Start the product's processes and fakes on loopback, and stop them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import secrets
import signal
import socket
import sys
import typing

import attrs

START_SECONDS = 30.0
STOP_SECONDS = 30.0
HOST = '127.0.0.1'


class ProcessFailed(Exception):
    """Process ended or stayed silent before it said where it listens."""


@attrs.define(eq=False)
class Process:
    """One started process and the addresses it printed."""

    name: str
    arguments: tuple[str, ...]
    log: pathlib.Path
    process: asyncio.subprocess.Process
    addresses: dict[str, str]

    @property
    def pid(self) -> int:
        """Give the process id."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def wait(self, seconds: float = STOP_SECONDS) -> int:
        """Wait for the end and return the exit code."""
        async with asyncio.timeout(seconds):
            return await self.process.wait()


def free_port() -> int:
    """Let the kernel pick a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


async def start(
    name: str,
    arguments: typing.Sequence[str],
    folder: pathlib.Path,
) -> Process:
    """Start a Python module and wait for its line of addresses."""
    log = folder / f'{name}.log'
    with log.open('ab') as errors:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=errors,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
    assert process.stdout is not None
    try:
        async with asyncio.timeout(START_SECONDS):
            line = await process.stdout.readline()
    except TimeoutError as exc:
        process.kill()
        raise ProcessFailed(f'{name} is silent') from exc
    if not line:
        await process.wait()
        raise ProcessFailed(f'{name}: {log.read_text()[-2000:]}')
    return Process(
        name=name,
        arguments=tuple(arguments),
        log=log,
        process=process,
        addresses=json.loads(line),
    )


class Cluster:
    """Hold the processes of one experiment and their settings files."""

    def __init__(
        self,
        folder: pathlib.Path,
        zones: int = 3,
        advertised: str = HOST,
    ) -> None:
        """Keep everything under one folder.

        Processes listen on ``HOST`` and tell their peers to dial the same
        port of ``advertised``, where a relay of the experiment may stand.
        """
        self.folder = folder
        self.advertised = advertised
        self.zones = zones
        self.processes: dict[str, Process] = {}
        self.controls: dict[str, str] = {}
        self._key = folder / 'cluster.key'
        folder.mkdir(parents=True, exist_ok=True)
        self._key.write_text(secrets.token_hex(32))

    @property
    def control_addresses(self) -> list[str]:
        """List the addresses of the control hosts."""
        return list(self.controls.values())

    @property
    def key_file(self) -> pathlib.Path:
        """Give the file with the shared secret."""
        return self._key

    def journal(self, name: str) -> pathlib.Path:
        """Give the file in which a fake writes what it started."""
        return self.folder / f'{name}.journal'

    async def start_controls(self, count: int = 3, **extra: typing.Any) -> None:
        """Start the control hosts as the first voters."""
        for number in range(count):
            address = f'{self.advertised}:{free_port()}'
            self.controls[f'control-{number}'] = address
        members = [
            {'node': node, 'address': address}
            for node, address in self.controls.items()
        ]
        starting = []
        for number, node in enumerate(self.controls):
            control = {
                'data_folder': str(self.folder / node),
                'members': members,
                'claim_shards': 2,
                **extra,
            }
            starting.append(self._start_control(node, number, control))
        await asyncio.gather(*starting)

    async def restart(self, name: str) -> Process:
        """Start a process that has ended again, with its old settings."""
        old = self.processes[name]
        started = await start(name, old.arguments, self.folder)
        self.processes[name] = started
        return started

    async def start_engine(
        self,
        name: str,
        *options: str,
        module: str = 'replica',
    ) -> Process:
        """Start a fake engine or plain service."""
        arguments = [
            f'bench.engines.{module}',
            '--journal',
            str(self.journal(name)),
            *options,
        ]
        return await self._keep(name, arguments)

    async def start_agent(
        self,
        name: str,
        target_url: str,
        service: str,
        zone: int,
        **extra: typing.Any,
    ) -> Process:
        """Start an agent beside a target."""
        agent = {
            'target_url': target_url,
            'target_id': name,
            'service': service,
            **extra,
        }
        return await self._role('agent', name, zone, agent=agent)

    async def start_entry(
        self,
        name: str,
        zone: int,
        **extra: typing.Any,
    ) -> Process:
        """Start an entry."""
        entry = {'health_grace_seconds': 0.2, **extra}
        return await self._role('entry', name, zone, entry=entry)

    async def stop(self) -> None:
        """Stop all processes, kindly first."""
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        for process in self.processes.values():
            try:
                await process.wait(10)
            except TimeoutError:
                process.send(signal.SIGKILL)
                await process.wait()

    async def _start_control(
        self,
        node: str,
        number: int,
        control: dict[str, typing.Any],
    ) -> None:
        port = int(self.controls[node].rpartition(':')[2])
        await self._role(
            'control',
            node,
            number % self.zones,
            control=control,
            listen={'host': HOST, 'port': port},
        )

    async def _role(
        self,
        role: str,
        name: str,
        zone: int,
        **sections: typing.Any,
    ) -> Process:
        body: dict[str, typing.Any] = {
            'role': role,
            'node': {'id': name, 'region': 'region-0', 'zone': f'zone-{zone}'},
            'listen': {'host': HOST, 'port': 0},
            'control_addresses': self.control_addresses,
            'security': {'key_files': [str(self._key)]},
            **sections,
        }
        body['listen']['advertise_host'] = self.advertised
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(body, indent=2))
        arguments = [
            'tamarackthread',
            role,
            '--settings',
            str(path),
            '--print-addresses',
        ]
        return await self._keep(name, arguments)

    async def _keep(
        self,
        name: str,
        arguments: typing.Sequence[str],
    ) -> Process:
        started = await start(name, arguments, self.folder)
        self.processes[name] = started
        return started
