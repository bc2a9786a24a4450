"""Prove that each role's process knows the codes that its peers send."""

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
    """List the codes that a process which loads only a module can't name."""
    done = subprocess.run(
        [sys.executable, '-c', SCRIPT, module, *codes],
        capture_output=True,
        check=True,
        text=True,
    )
    return done.stdout.strip()


class KnownCodesCase(unittest.TestCase):
    def test_entry_names_the_refusals_of_agents(self):
        """A caller sees why its call was refused, also between processes.

        Tests load all roles into one process, where every code is known.  An
        entry alone once did not know the agents' classes and told callers of
        an unknown failure; nor did bad endings count against a target.
        """
        codes = [f'TT600{number}' for number in range(1, 10)]
        codes.extend(('TT4501', 'TT4502'))
        self.assertEqual(unknown('tamarackthread.entry.role', codes), '')
