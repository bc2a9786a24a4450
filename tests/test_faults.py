"""Test that faults which nothing handles are logged and counted."""

from __future__ import annotations

import asyncio
import gc
import unittest

from tamarackthread.shared import faults
from tamarackthread.shared.site import site_metrics


class FaultsTest(unittest.TestCase):
    """Test tasks that end by an error."""

    def test_ended_task(self) -> None:
        """Guards against a task that ends by an error nobody hears of."""
        before = faults.count(faults.Part.TASK)
        with self.assertLogs('tamarackthread.faults', 'ERROR') as lines:
            asyncio.run(self._end())
            self.assertIn('LookupError', lines.output[0])
        self.assertEqual(before + 1, faults.count(faults.Part.TASK))
        shown = f'tamarackthread_faults{{part="task"}} {before + 1}.0'
        self.assertIn(shown, site_metrics.render().decode())

    async def _end(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(faults.on_loop)
        asyncio.create_task(self._fail())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        gc.collect()

    async def _fail(self) -> None:
        raise LookupError
