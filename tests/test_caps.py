"""Test an organisation's rate limit with and without control."""

import unittest

import async_solipsism

from tamarackthread.entry import directory, rate_leases
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import buckets
from tamarackthread.shared import errors
from tests import loopback


class FakePeers:
    """Reply as the leader of control, or time out."""

    def __init__(self):
        self.rate = 40
        self.unreachable = False
        self.requests = []

    async def request(self, address, request, timeout_seconds):
        if self.unreachable:
            raise errors.RequestTimeout
        self.requests.append(request.portions)
        leased = [messages.Portion(organisation='o', rate=self.rate)]
        reply = messages.PortionsReply(leased, lease_ms=5000, entries=2)
        return messages.Reply(portions=reply)


class RateLeaserCase(unittest.TestCase):
    def setUp(self):
        self.loop = async_solipsism.EventLoop()
        self.links = FakePeers()
        self.portions = buckets.Portions()
        known = directory.Directory()
        known.apply(
            [
                loopback.document(
                    'organisation', 'o', {'requests_per_second': 100}
                )
            ],
        )
        self.leaser = rate_leases.RateLeaser(
            'e',
            'z',
            known,
            self.portions,
            self.links,
            ('a', 'b'),
        )

    def tearDown(self):
        self.loop.close()

    async def count_admitted(self, seconds):
        """Return how many of a hundred calls a second are admitted."""
        passed = 0
        for _ in range(int(seconds * 100)):
            await rate_leases.asyncio.sleep(0.01)
            portion = self.portions.find('o')
            passed += not portion.take(1, self.loop.time())
        return passed

    def test_leased_portion_then_safe_share(self):
        """Guards against the leased rate in use after the lease has ended."""

        async def run():
            self.leaser.update_limits()
            running = self.loop.create_task(self.leaser.run())
            await self.count_admitted(3)
            leased = await self.count_admitted(5)
            self.links.unreachable = True
            await self.count_admitted(7)
            lapsed = await self.count_admitted(5)
            running.cancel()
            return leased, lapsed

        leased, lapsed = self.loop.run_until_complete(run())
        self.assertEqual(round(leased / 5), 40)
        # A tenth of 100 a second is reserved for two entries without leases.
        self.assertEqual(round(lapsed / 5), 5)
        self.assertTrue(self.links.requests)

    def test_limit_removed(self):
        async def run():
            self.leaser.update_limits()
            self.leaser._directory.apply(
                [loopback.document('organisation', 'o', {})],
            )
            self.leaser.update_limits()

        self.loop.run_until_complete(run())
        self.assertIsNone(self.portions.find('o'))
