"""Test that control without a data folder idles at little cost."""

import pathlib
import signal
import subprocess
import sys
import unittest

# A bare interpreter has 9 MB resident, a control role more than 40.
MAX_MEGABYTES = 16


class IdleControlCase(unittest.TestCase):
    def test_without_folder(self):
        """Without a data folder control idles with little memory until stopped.

        If it exited, its supervisor would restart it again and again.
        """
        for words in (('control',), ('control', '')):
            with self.subTest(words=words):
                self._check_idle(words)

    def test_unknown_role(self):
        """An unknown role is an error."""
        done = subprocess.run(  # noqa: S603  this very interpreter
            _command('contrl'), capture_output=True, text=True
        )
        self.assertEqual(2, done.returncode)
        self.assertIn('expected a role', done.stderr)

    def _check_idle(self, words):
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
        self.assertLessEqual(megabytes, MAX_MEGABYTES)


def _command(*words):
    return [sys.executable, '-m', 'tamarackthread.platform', *words]
