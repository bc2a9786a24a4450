"""Test that requirements.txt covers the imports and the environment."""

import ast
import importlib.metadata
import pathlib
import sys
import unittest

from binary import build

PACKAGE = build.ROOT / 'tamarackthread'


def _imported(path: pathlib.Path) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and not node.level:
            found.add(node.module or '')
    return {name.partition('.')[0] for name in found}


def _libraries() -> set[str]:
    found: set[str] = set()
    for path in PACKAGE.rglob('*.py'):
        found |= _imported(path)
    return found - {'tamarackthread', *sys.stdlib_module_names}


class TestRequirements(unittest.TestCase):
    """Compare imports, pinned versions and installed versions."""

    def test_imports_are_shipped(self) -> None:
        """Each imported library is in requirements.txt and so in the build."""
        shipped = {name.lower() for name in build.requirements()}
        providers = importlib.metadata.packages_distributions()
        missing = {
            name
            for name in _libraries()
            if not shipped & {found.lower() for found in providers[name]}
        }
        self.assertEqual(missing, set())

    def test_versions_are_installed(self) -> None:
        """The environment has the pinned versions."""
        for name, version in build.requirements().items():
            with self.subTest(library=name):
                self.assertEqual(importlib.metadata.version(name), version)
