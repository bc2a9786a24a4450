"""Test the memory and the imports of each role of the platform."""

import os
import subprocess
import sys
import tempfile
import types
import unittest

# Limit of resident memory after the imports, on CPython 3.11.
MAX_MEGABYTES = 50
SCRIPT = """
import importlib, sys
for name in sys.argv[1:]:
    importlib.import_module(name)
pages = int(open('/proc/self/statm').read().split()[1])
print(pages * 4 // 1024, 'numpy' in sys.modules, 'cleo' in sys.modules)
"""
ROLES = types.MappingProxyType(
    {
        'entry': (
            'tamarackthread.platform.startup',
            'tamarackthread.entry.direct.role',
            'tamarackthread.platform.calls',
            'tamarackthread.platform.configuration',
        ),
        'control': (
            'tamarackthread.platform.startup',
            'tamarackthread.control.site.host',
            'tamarackthread.platform.http_api',
            'tamarackthread.platform.ranks',
            'tamarackthread.platform.configuration',
        ),
    }
)


class RoleMemoryCase(unittest.TestCase):
    def test_ceiling(self):
        """An import that a role does not need costs memory in each process."""
        for role, modules in ROLES.items():
            with self.subTest(role=role):
                megabytes, has_numpy, has_cleo = _measure(modules)
                self.assertLessEqual(int(megabytes), MAX_MEGABYTES)
                self.assertEqual('False', has_numpy)
                self.assertEqual('False', has_cleo)


def _measure(modules):
    """Import modules in a new process.  Only the second run counts, which loads
    bytecode as hosts do: compiling takes more memory.
    """
    with tempfile.TemporaryDirectory() as cache:
        environment = {**os.environ, 'PYTHONPYCACHEPREFIX': cache}
        environment.pop('PYTHONDONTWRITEBYTECODE', None)
        for _ in range(2):
            done = subprocess.run(  # noqa: S603  this very interpreter
                [sys.executable, '-c', SCRIPT, *modules],
                capture_output=True,
                text=True,
                check=True,
                env=environment,
            )
    return done.stdout.split()
