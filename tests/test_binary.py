"""Test that each role of the built file is one process with known writes."""

import asyncio
import json
import os
import pathlib
import secrets
import signal
import sys
import tempfile
import typing
import unittest

from binary import build


def _children(pid: int) -> list[str]:
    tasks = pathlib.Path(f'/proc/{pid}/task')
    found: list[str] = []
    for task in tasks.iterdir():
        found.extend((task / 'children').read_text().split())
    return found


def _ended_children_faults(pid: int) -> int:
    """Return the page faults of waited-for children, 0 if there were none."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    return int(fields.split()[8])


class TestBinary(unittest.IsolatedAsyncioTestCase):
    """Run the three roles from one built file."""

    @classmethod
    def setUpClass(cls) -> None:
        """Build the file once."""
        scratch = tempfile.TemporaryDirectory()
        cls.addClassCleanup(scratch.cleanup)
        cls._root = pathlib.Path(scratch.name)
        cls._file = cls._root / 'bin' / 'tamarackthread'
        build.build(cls._file)

    def setUp(self) -> None:
        """Create the home folder and the cluster key."""
        self._home = self._root / 'home'
        self._home.mkdir()
        self._key = self._root / 'cluster.key'
        self._key.write_text(secrets.token_hex(32))

    def _settings(self, role: str, **sections: typing.Any) -> pathlib.Path:
        path = self._root / f'{role}.json'
        body = {
            'role': role,
            'node': {'id': role, 'region': 'r', 'zone': 'z'},
            'security': {'key_files': [str(self._key)]},
            'cache_folder': str(self._root / 'cache'),
            **sections,
        }
        path.write_text(json.dumps(body))
        return path

    async def _start(
        self, role: str, **sections: typing.Any
    ) -> tuple[asyncio.subprocess.Process, dict[str, str]]:
        process = await asyncio.create_subprocess_exec(
            self._file,
            role,
            '--settings',
            self._settings(role, **sections),
            '--print-addresses',
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            cwd=self._home,
            env={
                # Skips wrappers of the interpreter, which start processes of
                # their own.
                'PATH': f'{sys.base_prefix}/bin:{os.defpath}',
                'HOME': str(self._home),
                'TMPDIR': str(self._home),
            },
        )
        self.addAsyncCleanup(self._end, process)
        line = await process.stdout.readline()
        self.assertTrue(line, f'{role} exited before it was serving')
        return process, json.loads(line)

    async def _end(self, process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def test_roles(self) -> None:
        """Each role starts no child process and exits with 0 on SIGTERM.

        It writes only to its data folder and the configured cache folder.
        """
        control, addresses = await self._start(
            'control', control={'data_folder': str(self._root / 'data')}
        )
        shared = {'control_addresses': [addresses['link']]}
        entry, _ = await self._start(
            'entry', entry={'health_grace_seconds': 0}, **shared
        )
        agent, _ = await self._start(
            'agent',
            agent={
                'target_url': 'http://127.0.0.1:9',
                'target_id': 't',
                'service': 's',
            },
            **shared,
        )
        for process in (entry, agent, control):
            with self.subTest(pid=process.pid):
                self.assertEqual(_children(process.pid), [])
                self.assertEqual(_ended_children_faults(process.pid), 0)
                process.send_signal(signal.SIGTERM)
                output = await process.stdout.read()
                self.assertEqual(0, await process.wait(), output.decode())
        self.assertEqual(list(self._home.rglob('*')), [])
        self.assertEqual(
            {path.name for path in self._root.iterdir() if path.is_dir()},
            {'bin', 'cache', 'data', 'home'},
        )
        self.assertEqual(list(self._file.parent.iterdir()), [self._file])
