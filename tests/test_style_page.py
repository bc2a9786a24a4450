"""Test that the style page covers the linter settings of setup.cfg."""

import configparser
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent


class TestStylePage(unittest.TestCase):
    """Compare the linter's settings with the page."""

    def setUp(self) -> None:
        """Read both files."""
        parser = configparser.ConfigParser()
        parser.read(ROOT / 'setup.cfg')
        self._flake8 = parser['flake8']
        self._page = (ROOT / 'docs' / 'STYLE.md').read_text()

    def test_rules(self) -> None:
        """Each ignored rule is mentioned on the page."""
        left_out = self._flake8['ignore'] + self._flake8['per-file-ignores']
        rules = set(re.findall(r'\b[A-Z]+\d+\b', left_out))
        self.assertTrue(rules)
        self.assertEqual(
            {rule for rule in rules if rule not in self._page}, set()
        )

    def test_limits(self) -> None:
        """Each limit is on the page with its configured value."""
        for name, limit in self._flake8.items():
            if not name.startswith('max-'):
                continue
            row = next(
                line for line in self._page.splitlines() if f'`{name}`' in line
            )
            with self.subTest(limit=name):
                self.assertRegex(row, rf'\b{limit}\b')
