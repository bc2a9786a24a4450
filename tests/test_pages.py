"""Test that links between the documentation pages resolve."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
LINK = re.compile(r'\]\((?!https?:|#)([^)#\s]+)[^)]*\)')


class TestPages(unittest.TestCase):
    """Check the relative links of every page."""

    def test_links(self) -> None:
        """Each linked file exists."""
        pages = [*ROOT.glob('*.md'), *(ROOT / 'docs').rglob('*.md')]
        broken = []
        for page in pages:
            for target in LINK.findall(page.read_text()):
                if not (page.parent / target).exists():
                    broken.append(f'{page.relative_to(ROOT)}: {target}')
        self.assertGreater(len(pages), 1)
        self.assertEqual(broken, [])
