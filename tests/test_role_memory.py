"""Prove what each role of the platform holds in memory once it is loaded."""

import os
import subprocess
import sys
import tempfile
import types
import unittest

# Resident megabytes after the imports, on CPython 3.11.  Entry and control
# stand at 45 and 46 here; a bare process of the HTTP library at 38.
MOST_MEGABYTES = 50
LOOK = """
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
        """A library that a role does not use costs each of its processes."""
        for role, modules in ROLES.items():
            with self.subTest(role=role):
                megabytes, has_numbers, has_commands = _look(modules)
                self.assertLessEqual(int(megabytes), MOST_MEGABYTES)
                self.assertEqual('False', has_numbers)
                self.assertEqual('False', has_commands)


def _look(modules):
    """Load modules in a process of their own, the second time from bytecode.

    Compiling takes more memory than running, and a host is given bytecode.
    """
    with tempfile.TemporaryDirectory() as cache:
        surroundings = {**os.environ, 'PYTHONPYCACHEPREFIX': cache}
        surroundings.pop('PYTHONDONTWRITEBYTECODE', None)
        for _ in range(2):
            done = subprocess.run(  # noqa: S603  this very interpreter
                [sys.executable, '-c', LOOK, *modules],
                capture_output=True,
                text=True,
                check=True,
                env=surroundings,
            )
    return done.stdout.split()
