"""Prove that control on a host without a disk neither ends nor costs much."""

import pathlib
import signal
import subprocess
import sys
import unittest

# Resident megabytes of a bare interpreter are 9; a role holds more than 40.
MOST_MEGABYTES = 16


class RestingCase(unittest.TestCase):
    def test_without_folder(self):
        """Each control process of a host without a disk ends at once.

        Its settings name no data folder, so they are refused, and the platform
        starts it again and again, a hundred times a day.  It has to rest
        instead, with little memory, and to end when it is asked to.
        """
        for words in (('control',), ('control', '')):
            with self.subTest(words=words):
                self._rest(words)

    def test_unknown_role(self):
        """A role that does not exist is told, not rested for."""
        done = subprocess.run(  # noqa: S603  this very interpreter
            _command('contrl'), capture_output=True, text=True
        )
        self.assertEqual(2, done.returncode)
        self.assertIn('expected a role', done.stderr)

    def _rest(self, words):
        running = subprocess.Popen(  # noqa: S603  this very interpreter
            _command(*words), stdout=subprocess.PIPE, text=True
        )
        with running:
            self.assertIn('rests', running.stdout.readline())
            running.send_signal(signal.SIGHUP)
            pages = pathlib.Path(f'/proc/{running.pid}/statm').read_text()
            megabytes = int(pages.split()[1]) * 4 // 1024
            running.terminate()
            self.assertEqual(0, running.wait())
        self.assertLessEqual(megabytes, MOST_MEGABYTES)


def _command(*words):
    return [sys.executable, '-m', 'tamarackthread.platform', *words]
