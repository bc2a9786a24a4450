"""Prove that an organisation's cap holds, with and without control."""

import unittest

import async_solipsism

from tamarackthread.entry import directory, rate_leases
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import buckets
from tamarackthread.shared import errors
from tests import stage


class FakePeers:
    """Answer as the leader would, or be cut off."""

    def __init__(self):
        self.rate = 40
        self.cut = False
        self.asked = []

    async def request(self, address, request, timeout_seconds):
        if self.cut:
            raise errors.RequestTimeout
        self.asked.append(request.portions)
        leased = [messages.Portion(organisation='o', rate=self.rate)]
        reply = messages.PortionsReply(leased, lease_ms=5000, entries=2)
        return messages.Reply(portions=reply)


class CapsCase(unittest.TestCase):
    def setUp(self):
        self.loop = async_solipsism.EventLoop()
        self.links = FakePeers()
        self.held = buckets.Portions()
        known = directory.Directory()
        known.apply(
            [stage.document('organisation', 'o', {'requests_per_second': 100})],
        )
        self.keeper = rate_leases.RateLeaser(
            'e',
            'z',
            known,
            self.held,
            self.links,
            ('a', 'b'),
        )

    def tearDown(self):
        self.loop.close()

    async def passed(self, seconds):
        """Count the calls that pass of a hundred a second."""
        passed = 0
        for _ in range(int(seconds * 100)):
            await rate_leases.asyncio.sleep(0.01)
            portion = self.held.find('o')
            passed += not portion.take(1, self.loop.time())
        return passed

    def test_leased_portion_then_safe_share(self):
        """An organisation gets its portion, and little once control is gone.

        Control leases this entry 40 of 100 calls a second.  Then the entry
        is cut off; when the lease has ended it falls to its safe share, so
        that entries cut off together stay under the cap.
        """

        async def lived():
            self.keeper.update_limits()
            running = self.loop.create_task(self.keeper.run())
            await self.passed(3)
            leased = await self.passed(5)
            self.links.cut = True
            await self.passed(7)
            lapsed = await self.passed(5)
            running.cancel()
            return leased, lapsed

        leased, lapsed = self.loop.run_until_complete(lived())
        self.assertEqual(round(leased / 5), 40)
        # 100 a second, a tenth kept back for lapsed entries, two entries.
        self.assertEqual(round(lapsed / 5), 5)
        self.assertTrue(self.links.asked)

    def test_cap_taken_away(self):
        async def lived():
            self.keeper.update_limits()
            self.keeper._directory.apply(
                [stage.document('organisation', 'o', {})],
            )
            self.keeper.update_limits()

        self.loop.run_until_complete(lived())
        self.assertIsNone(self.held.find('o'))
