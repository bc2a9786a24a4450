"""Test that an entry serves calls while its output is blocked."""

import asyncio
import collections
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Enough refused calls, with a log line each, to fill a pipe of 64 KB.
CALLS = 1200
CONCURRENCY = 20
NO_CONFIGURATION = 503


def write_settings(folder):
    """Write settings of an entry without control hosts."""
    (folder / 'key').write_bytes(b'k' * 32)
    path = folder / 'settings.json'
    path.write_text(
        json.dumps(
            {
                'role': 'entry',
                'node': {'id': 'e1', 'region': 'east', 'zone': 'a'},
                'security': {'key_files': [str(folder / 'key')]},
                'logs': {'json': True},
                'entry': {'health_grace_seconds': 0},
                'site': {
                    'seeds': [],
                    'link_port': 9,
                    'metrics_address': '127.0.0.1:0',
                },
            }
        )
    )
    return path


async def call(session, address, number):
    """Make one call with a short deadline and return its status."""
    headers = {'Attempt-Id': f'c{number}', 'Deadline-Ms': '20'}
    async with session.get(f'http://{address}/', headers=headers) as answer:
        await answer.read()
        return answer.status


async def call_all(address):
    """Make all calls with limited concurrency and count the statuses."""
    statuses = collections.Counter()
    async with aiohttp.ClientSession() as session:
        for first in range(0, CALLS, CONCURRENCY):
            numbers = range(first, first + CONCURRENCY)
            statuses.update(
                await asyncio.gather(
                    *(call(session, address, number) for number in numbers)
                )
            )
    return statuses


class StuckOutputCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = write_settings(pathlib.Path(folder.name))
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'tamarackthread.platform', 'entry'],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
            env={'TAMARACKTHREAD_CONFIG': str(path)},
        )
        self.addCleanup(self.process.communicate)
        self.addCleanup(self.process.kill)

    def test_calls_go_on(self):
        """A log write to a full pipe must not block the event loop: all calls
        are answered, and the process stops once its output is read again.
        """
        address = ''
        while not address:
            line = json.loads(self.process.stdout.readline())
            if line['event'] == 'started':
                address = line['address']
        statuses = asyncio.run(call_all(address))
        self.assertEqual({NO_CONFIGURATION: CALLS}, dict(statuses))
        self.process.send_signal(signal.SIGTERM)
        rest = self.process.stdout.read()
        self.process.wait()
        self.assertEqual(0, self.process.returncode)
        events = collections.Counter(
            json.loads(line)['event'] for line in rest.splitlines()
        )
        self.assertEqual(CALLS, events['call_refused'])
        self.assertGreater(len(rest), 2 * 65536)
