"""Test that retries stay within their budget when all entries start."""

from __future__ import annotations

import unittest

from tamarackthread.entry.direct import retry_budgets
from tamarackthread.generated import settings
from tamarackthread.policy import known_entries
from tests import direct_case

ENTRIES = 39
CALLS_EACH = 60
SERVICE = 's'


class Entry:
    """An entry's retry budget and the number of entries it knows."""

    def __init__(self, known):
        self.known = known
        self.site = settings.Site(seeds=(), link_port=1)
        self.budget = retry_budgets.RetryBudgets(
            self.site, self._count, self._now
        )

    def refuse_call(self):
        """Handle a refused call; return whether it is retried."""
        self.budget.earn(SERVICE)
        return self.budget.spend(SERVICE)

    def _count(self):
        return self.known

    def _now(self):
        return float(0)


class StartCase(unittest.TestCase):
    def test_control_hosts_list_few_entries(self):
        """Guards against a fresh part of the reserve with each start."""
        for known in (1, 2, ENTRIES):
            spent = 0
            for _ in range(ENTRIES):
                entry = Entry(known)
                spent += sum(entry.refuse_call() for _ in range(CALLS_EACH))
            earned = ENTRIES * CALLS_EACH * entry.site.retry_share
            self.assertLessEqual(spent, earned, known)
            self.assertGreater(spent, 0)

    def test_list_of_a_restarted_control_host(self):
        """Guards against a larger part while a control host lists few entries."""
        listed = [('e0', 'e1'), ('e0',)]
        known = known_entries.KnownEntries('e0', lambda: listed[0])
        site = settings.Site(seeds=(), link_port=1)
        budget = retry_budgets.RetryBudgets(site, known.count, lambda: float(0))
        budget.earn(SERVICE)
        listed.pop(0)
        for _ in range(1000):
            budget.earn(SERVICE)
        spent = sum(budget.spend(SERVICE) for _ in range(100))
        self.assertLessEqual(spent, site.retry_reserve / 2)

    def test_no_other_entry_is_known(self):
        """Guards against a full retry reserve at each entry after a start."""
        entries = [Entry(0) for _ in range(ENTRIES)]
        spent = _run_refused_calls(entries)
        share = entries[0].site.retry_share
        self.assertLessEqual(spent, ENTRIES * CALLS_EACH * share)
        self.assertGreater(spent, 0)

    def test_some_entries_are_known(self):
        """Guards against excess retries while entries discover each other."""
        entries = [Entry(1 + number) for number in range(ENTRIES)]
        spent = _run_refused_calls(entries)
        site = entries[0].site
        earned = ENTRIES * CALLS_EACH * site.retry_share
        self.assertLessEqual(spent, earned + 2.2 * site.retry_reserve)

    def test_reserve_shrinks_with_more_entries(self):
        """Guards against a reserve that keeps its size with more entries."""
        entry = Entry(1)
        for _ in range(1000):
            entry.budget.earn(SERVICE)
        entry.known = ENTRIES
        spent = sum(entry.budget.spend(SERVICE) for _ in range(100))
        self.assertLessEqual(spent, entry.site.retry_reserve / ENTRIES)


class ArrivalCase(direct_case.DirectCase):
    async def test_answered_by_another_target(self):
        """Guards against repeats after a 421 that no budget pays for."""
        self.serve(direct_case.ONCE)
        moved = [await self.add(_misdirected) for _ in range(3)]
        _empty(self.budgets)
        self.assertEqual(503, (await self.ask())[0])
        self.assertEqual(1, sum(len(one.heads) for one in moved))

    async def test_unreachable_target(self):
        """Guards against a budget that pays for tries which reached nobody."""
        self.serve(direct_case.ONCE)
        gone = await self.add(direct_case.dropping)
        gone.close()
        await self.add(direct_case.whole('ok'))
        _empty(self.budgets)
        self.assertEqual([200, 200], [(await self.ask())[0] for _ in range(2)])


def _empty(budgets):
    for _ in range(direct_case.SAVING_CALLS):
        budgets.spend(SERVICE)


async def _misdirected(target, head, writer):
    writer.write(b'HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n')


def _run_refused_calls(entries):
    """Run the calls of all entries, which discover each other meanwhile."""
    spent = 0
    for number in range(CALLS_EACH):
        for entry in entries:
            entry.known = max(entry.known, min(ENTRIES, number))
            spent += entry.refuse_call()
    return spent
