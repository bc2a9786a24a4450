"""Check histories of keyed calls in a world that fails at random."""

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
    """Run one seeded world to its end on paused time."""

    async def run():
        simulation = claim_simulation.Simulation(random.Random(seed))
        keys = [f'order-{number}' for number in range(KEYS)]
        return await simulation.run(keys)

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(run())


class HistoryCase(unittest.TestCase):
    def test_no_promise_is_broken(self):
        """No order runs twice and no refusal is false, whatever fails.

        Each seed is a world of its own; a failing one is named together with
        the promise that it broke.
        """
        told = collections.Counter()
        for seed in range(SEEDS):
            found = history(seed)
            self.assertEqual(calls.check(found), [], f'seed {seed}')
            told.update(tried.outcome for tried in found.tries)
            told['started'] += len(found.starts)
        # The worlds must be neither harmless nor hopeless.
        for outcome in load.Outcome:
            if outcome != load.Outcome.UNREACHED:
                self.assertGreater(told[outcome], SEEDS / 10, told)
        self.assertGreater(told['started'], SEEDS * KEYS / 2)
