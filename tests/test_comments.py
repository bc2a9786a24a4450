"""Test the check for comments that cite measurements."""

import unittest

from tools import check_comments

ALLOWED = """
# Half of the callers' pause, so that one long prompt fits in too.
SHARE = 0.55
# A rank answers within 0.15 s.
PATIENCE = 0.15
"""
RATIO = """
# Of the streams so many are in time with this, and with less
# only 0.43 of them.
SHARE = 0.8
"""
COUNTED = """
SHARE = 0.8  # switched 44 times in 34 s without it
"""


class CommentsCase(unittest.TestCase):
    def test_reasons_stay(self):
        """A reason, a value and a time with its unit are allowed."""
        self.assertEqual([], check_comments.findings(ALLOWED))

    def test_figures_are_found(self):
        """A ratio on the second line of a comment and counts are reported."""
        self.assertEqual([2], check_comments.findings(RATIO))
        self.assertEqual([2], check_comments.findings(COUNTED))

    def test_product(self):
        """No comment of the package cites a measurement."""
        self.assertEqual(0, check_comments.main())
