"""Check histories of keyed calls under random faults."""

import asyncio
import collections
import random
import unittest

import async_solipsism

from bench import load
from bench.checks import calls
from tests import claim_simulation

SEEDS = 120
KEYS = 8


def history(seed):
    """Run one seeded simulation on a simulated clock."""

    async def run():
        simulation = claim_simulation.Simulation(random.Random(seed))
        keys = [f'order-{number}' for number in range(KEYS)]
        return await simulation.run(keys)

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(run())


class HistoryCase(unittest.TestCase):
    def test_histories_are_valid(self):
        """No call runs twice and no refusal is false under random faults."""
        counts = collections.Counter()
        for seed in range(SEEDS):
            recorded = history(seed)
            self.assertEqual(calls.check(recorded), [], f'seed {seed}')
            counts.update(attempt.outcome for attempt in recorded.tries)
            counts['started'] += len(recorded.starts)
        # Each outcome must be frequent enough to be tested.
        for outcome in load.Outcome:
            if outcome != load.Outcome.UNREACHED:
                self.assertGreater(counts[outcome], SEEDS / 10, counts)
        self.assertGreater(counts['started'], SEEDS * KEYS / 2)
