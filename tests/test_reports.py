"""Test that an agent detects a target that is silent or stuck."""

import unittest

import async_solipsism

from tamarackthread.agent import reports, target
from tamarackthread.shared import target_errors


class FakeTarget:
    def __init__(self):
        self.tokens = 0
        self.running = 1
        self.tokens_per_poll = 1
        self.silent = False

    async def load(self):
        if self.silent:
            raise target_errors.TargetSilent
        self.tokens += self.tokens_per_poll
        return target.TargetReport(
            running=self.running,
            queued=0,
            batch_slots=4,
            queued_tokens=0,
            step_ms=6,
            tokens=self.tokens,
            prefix_sequence=0,
            prefixes=(),
        )


class StuckCase(unittest.TestCase):
    def setUp(self):
        self.loop = async_solipsism.EventLoop()
        self.target = FakeTarget()

    def tearDown(self):
        self.loop.close()

    def run_for(self, seconds, change=None):
        async def polled():
            reporter = reports.Reporter('t', self.target, 0.1)
            reporter.stuck_seconds = 5
            polling = self.loop.create_task(reporter.run())
            await reports.asyncio.sleep(1)
            for name, changed in (change or {}).items():
                setattr(self.target, name, changed)
            await reports.asyncio.sleep(seconds)
            polling.cancel()
            return reporter.is_stuck

        return self.loop.run_until_complete(polled())

    def test_working_target_is_not_stuck(self):
        self.assertFalse(self.run_for(20))

    def test_idle_target_is_not_stuck(self):
        self.assertFalse(self.run_for(20, {'running': 0, 'tokens_per_poll': 0}))

    def test_hung_engine_is_stuck(self):
        """An engine that answers polls without making tokens counts as stuck
        after the profile's time, and not before.
        """
        self.assertFalse(self.run_for(4, {'tokens_per_poll': 0}))
        self.assertTrue(self.run_for(6, {'tokens_per_poll': 0}))

    def test_silent_target_is_stuck(self):
        self.assertTrue(self.run_for(2, {'silent': True}))
