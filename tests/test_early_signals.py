"""Test that signals during the load of a process don't end it."""

import importlib
import signal
import unittest
from unittest import mock

from tamarackthread.platform import __main__ as program

NUMBERS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class LoadCase(unittest.TestCase):
    def setUp(self):
        for number in NUMBERS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def test_handlers_stand_before_the_load(self):
        """Guards against a reload signal that ends a process that loads."""
        handlers = []

        def load(name):
            handlers.extend(signal.getsignal(number) for number in NUMBERS)
            return mock.Mock(main=mock.Mock(return_value=0))

        with mock.patch.object(importlib, 'import_module', load):
            self.assertEqual(0, program.main(['entry']))
        self.assertEqual(signal.SIG_IGN, handlers[0])
        for handler in handlers[1:]:
            with self.assertRaisesRegex(SystemExit, '0'):
                handler(signal.SIGTERM, None)
