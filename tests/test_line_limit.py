"""Test that callers can't fill the log."""

import asyncio
import importlib
import logging

from tamarackthread.shared import line_limit
from tests import policy_case

LINES = 5


class LineLimitCase(policy_case.PausedCase):
    def test_flood(self):
        """Guards against a line for each of any number of bad requests."""
        limit = line_limit.LineLimit(LINES)

        async def flood():
            allowed = sum(limit.allows() for _ in range(100))
            await asyncio.sleep(1)
            return allowed, limit.allows()

        self.assertEqual((LINES, True), self.run_paused(flood()))

    def test_library(self):
        """Guards against a traceback of the HTTP library for each request."""
        importlib.import_module('tamarackthread.shared.bounded_server')
        filters = logging.getLogger('aiohttp.server').filters
        self.assertIsInstance(filters[-1], line_limit.LineLimit)
