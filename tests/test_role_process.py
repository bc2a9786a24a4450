"""Test how a role's process starts, reloads settings and stops."""

import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import types
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS = types.MappingProxyType(
    {
        'role': 'entry',
        'node': {'id': 'e1', 'region': 'east', 'zone': 'a'},
        'control_addresses': ['127.0.0.1:9'],
        'security': {'key_files': ['key']},
        'entry': {'health_grace_seconds': 0},
    }
)


class RoleProcessCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'settings.json'
        (self.path.parent / 'key').write_bytes(b'k' * 32)

    def write(self, **changed):
        self.path.write_text(json.dumps({**SETTINGS, **changed}))

    @contextlib.contextmanager
    def start(self, role='entry'):
        words = (role, '--settings', str(self.path), '--print-addresses')
        process = subprocess.Popen(
            [sys.executable, '-m', 'tamarackthread', *words],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            yield process
        finally:
            process.kill()
            process.communicate()

    def wait_logged(self, process, words):
        """Return the next log line with a text; fail if there is none."""
        for line in process.stderr:
            if words in line:
                return line
        return self.fail(f'never logged: {words}')

    def test_reload_and_planned_stop(self):
        """An invalid file on SIGHUP must not stop the process; its findings
        are logged, and a valid file is applied.  SIGTERM exits with 0.
        """
        self.write()
        with self.start() as process:
            addresses = json.loads(process.stdout.readline())
            self.assertEqual(set(addresses), {'link', 'http'})
            self.write(logs={'level': 'loud'})
            process.send_signal(signal.SIGHUP)
            line = self.wait_logged(process, 'kept the old ones')
            self.assertIn('settings.json:1:', line)
            self.write(logs={'json': True})
            process.send_signal(signal.SIGHUP)
            line = self.wait_logged(process, 'changed logs.json')
            self.assertEqual(json.loads(line)['part'], 'settings')
            process.send_signal(signal.SIGTERM)
            process.communicate()
            self.assertEqual(process.returncode, 0)

    def test_failed_start_logs_reason(self):
        self.write(listen={'port': 'any'}, node={'id': 'e1'})
        with self.start() as process:
            _, stderr = process.communicate()
            self.assertEqual(process.returncode, 1)
            self.assertEqual(stderr.count('settings.json:1:'), 3)
        self.write()
        with self.start('agent') as process:
            _, stderr = process.communicate()
            self.assertEqual(process.returncode, 2)
            self.assertIn('is for role "entry"', stderr)
