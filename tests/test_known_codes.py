"""Test that each role's process knows the error codes that its peers send."""

import subprocess
import sys
import unittest

SCRIPT = """
import importlib, sys
importlib.import_module(sys.argv[1])
from tamarackthread.shared import errors
print(','.join(code for code in sys.argv[2:] if not errors.by_code(code)))
"""


def unknown(module, codes):
    """Return the codes that are unknown to a process with only this module."""
    done = subprocess.run(
        [sys.executable, '-c', SCRIPT, module, *codes],
        capture_output=True,
        check=True,
        text=True,
    )
    return done.stdout.strip()


class KnownCodesCase(unittest.TestCase):
    def test_entry_knows_codes_of_agents(self):
        """An entry that does not import the error classes of agents reports
        refusals as unknown failures and does not count them against targets.
        """
        codes = [f'TT600{number}' for number in range(1, 10)]
        codes.extend(('TT4501', 'TT4502'))
        self.assertEqual(unknown('tamarackthread.entry.role', codes), '')
