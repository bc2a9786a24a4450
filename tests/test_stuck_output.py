"""Prove that an entry serves on when nobody reads its output any more."""

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
# A line of a refused call has some 400 bytes and a pipe holds 64 KB.
CALLS = 1200
AT_ONCE = 20
NO_CONFIGURATION = 503


def settings_of(folder):
    """Write the settings of an entry that finds no control host."""
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


async def ask(session, address, number):
    """Make one call with little time and return its status."""
    headers = {'Attempt-Id': f'c{number}', 'Deadline-Ms': '20'}
    async with session.get(f'http://{address}/', headers=headers) as answer:
        await answer.read()
        return answer.status


async def press(address):
    """Make many calls, a few at a time, and count the statuses."""
    seen = collections.Counter()
    async with aiohttp.ClientSession() as session:
        for first in range(0, CALLS, AT_ONCE):
            numbers = range(first, first + AT_ONCE)
            seen.update(
                await asyncio.gather(
                    *(ask(session, address, number) for number in numbers)
                )
            )
    return seen


class StuckOutputCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = settings_of(pathlib.Path(folder.name))
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
        """Whoever collects the output stops reading under load.

        The pipe is full after some hundred refused calls, each of which has a
        line of its own.  A write on the event loop would wait for good then,
        and with it every caller.  All calls are answered, and a planned stop
        ends the process once somebody reads again.
        """
        address = ''
        while not address:
            line = json.loads(self.process.stdout.readline())
            if line['event'] == 'started':
                address = line['address']
        seen = asyncio.run(press(address))
        self.assertEqual({NO_CONFIGURATION: CALLS}, dict(seen))
        self.process.send_signal(signal.SIGTERM)
        rest = self.process.stdout.read()
        self.process.wait()
        self.assertEqual(0, self.process.returncode)
        events = collections.Counter(
            json.loads(line)['event'] for line in rest.splitlines()
        )
        self.assertEqual(CALLS, events['call_refused'])
        self.assertGreater(len(rest), 2 * 65536)
