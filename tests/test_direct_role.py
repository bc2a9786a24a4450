"""Test that an entry ends when one of its tasks fails."""

import asyncio
import json
import pathlib
import signal
import tempfile
import unittest
from unittest import mock

from tamarackthread.entry.direct import frontend, role, targets
from tamarackthread.platform import calls, configuration
from tamarackthread.shared import settings


class Fault(Exception):
    """An unexpected error in one of the entry's tasks."""


async def failing(known):
    raise Fault


async def starting(front, address):
    """Fail if this process would not notice that it has to stop."""
    assert signal.getsignal(signal.SIGTERM) is not signal.SIG_DFL
    raise Fault


class FaultCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / 'settings.json'
        (path.parent / 'key').write_bytes(b'k' * 32)
        path.write_text(
            json.dumps(
                {
                    'role': 'entry',
                    'node': {'id': 'e1', 'region': 'east', 'zone': 'a'},
                    'security': {'key_files': ['key']},
                    'entry': {'health_grace_seconds': 0},
                    'site': {
                        'seeds': [],
                        'link_port': 9,
                        'metrics_address': '127.0.0.1:0',
                    },
                }
            )
        )
        self.settings = settings.load(path)

    def test_failed_task_ends_entry(self):
        """An error in the sweep of targets ends the entry for a restart."""
        with mock.patch.object(targets.Targets, 'run', failing):
            with self.assertRaises(Fault):
                asyncio.run(self.run_entry())

    def test_signals_are_caught_first(self):
        """Guards against a stop signal that cuts off the first requests."""
        with mock.patch.object(frontend.Frontend, 'start', starting):
            with self.assertRaises(Fault):
                asyncio.run(self.run_entry())

    async def run_entry(self):
        await role.run(
            self.settings,
            configuration.PlatformReader(),
            calls.PlatformDialect(),
        )
