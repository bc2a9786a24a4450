"""Test that the page of errors matches the error classes."""

import unittest

from tools import generate_errors

from tamarackthread.shared import errors


class TestErrorsPage(unittest.TestCase):
    """Compare the page with the catalogue."""

    def test_page_matches(self) -> None:
        """The committed page is what ``make docs`` writes."""
        self.assertEqual(
            generate_errors.PAGE.read_text(), generate_errors.page()
        )

    def test_meanings(self) -> None:
        """Every error has its own docstring, a valid code and a valid status."""
        generate_errors.import_all()
        for kind in errors.catalogue():
            with self.subTest(code=kind.code):
                self.assertTrue(kind.__dict__.get('__doc__'))
                self.assertRegex(kind.code, r'\ATT\d{4}\Z')
                self.assertIn(kind.status // 100, {2, 4, 5})
