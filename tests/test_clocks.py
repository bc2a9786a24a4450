"""Test the check for tests that depend on the real clock."""

import unittest

from tools import check_clocks

REAL = 'class A(unittest.IsolatedAsyncioTestCase):\n    async def a(self):\n'
PAUSED = 'class A(policy_case.PausedCase):\n    async def a(self):\n'
BOUND = '        async with asyncio.timeout(20):\n            await b\n'
SLEEP = '        await asyncio.sleep(0.1)\n'
POLL = '        while not b():\n            await asyncio.sleep(0.1)\n'
YIELD = '        await asyncio.sleep(0)\n'


class ClocksCase(unittest.TestCase):
    def test_waits(self):
        """Timeouts and sleeps in wall time are reported."""
        self.assertEqual([3], check_clocks.findings(REAL + BOUND))
        self.assertEqual([3], check_clocks.findings(REAL + SLEEP))

    def test_proper(self):
        """Polls, yields and timeouts in simulated time are not reported."""
        self.assertEqual([], check_clocks.findings(REAL + POLL))
        self.assertEqual([], check_clocks.findings(REAL + YIELD))
        self.assertEqual([], check_clocks.findings(PAUSED + BOUND))
