"""Prove that second tries stay within their bound when all entries start."""

from __future__ import annotations

import unittest

from tamarackthread.entry.direct import retry_budgets
from tamarackthread.generated import settings

ENTRIES = 39
CALLS_EACH = 60
SERVICE = 's'


class Entry:
    """Be an entry that learns of the others."""

    def __init__(self, known):
        self.known = known
        self.site = settings.Site(seeds=(), link_port=1)
        self.part = retry_budgets.RetryBudgets(
            self.site, self._count, self._now
        )

    def press(self):
        """Take a call that is refused; tell whether it is tried again."""
        self.part.earn(SERVICE)
        return self.part.spend(SERVICE)

    def _count(self):
        return self.known

    def _now(self):
        return float(0)


class StartCase(unittest.TestCase):
    def test_nobody_is_known(self):
        """All entries start at once while every target refuses calls.

        None knows of another one yet.  Each takes the whole reserve for its
        own, and targets that start get a second try for nearly every call.
        """
        entries = [Entry(0) for _ in range(ENTRIES)]
        spent = _press(entries)
        share = entries[0].site.retry_share
        self.assertLessEqual(spent, ENTRIES * CALLS_EACH * share)
        self.assertGreater(spent, 0)

    def test_some_are_known(self):
        """Each entry knows those that asked for the news before it."""
        entries = [Entry(1 + number) for number in range(ENTRIES)]
        spent = _press(entries)
        site = entries[0].site
        earned = ENTRIES * CALLS_EACH * site.retry_share
        self.assertLessEqual(spent, earned + 2.2 * site.retry_reserve)

    def test_part_follows_the_entries(self):
        """What a lone entry has saved is cut when others become known."""
        entry = Entry(1)
        for _ in range(1000):
            entry.part.earn(SERVICE)
        entry.known = ENTRIES
        spent = sum(entry.part.spend(SERVICE) for _ in range(100))
        self.assertLessEqual(spent, entry.site.retry_reserve / ENTRIES)


def _press(entries):
    """Let each entry take its calls, and learn of the others after a while."""
    spent = 0
    for number in range(CALLS_EACH):
        for entry in entries:
            entry.known = max(entry.known, min(ENTRIES, number))
            spent += entry.press()
    return spent
