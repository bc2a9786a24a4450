"""Test that targets known before a restart are known at once after it."""

from __future__ import annotations

import asyncio
import json
import logging
import random

import attrs

from bench.history import disks
from tamarackthread.control import failures
from tamarackthread.control.site import target_file, target_registry
from tamarackthread.shared.site import announcements
from tests import policy_case

READY = announcements.Announcement(
    target='t1', service='s', address='10.0.0.1:80', zone='a', slots=6
)
INTERVAL_SECONDS = 1.0


class TargetFileCase(policy_case.PausedCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.platter = disks.Platter(random.Random(3))

    def test_power_failure(self):
        """Stored targets survive a power failure."""
        self.run_paused(self._after_power())

    def test_newer_state_wins(self):
        """A stored target does not override a later state of the same start."""
        self.run_paused(self._newer())

    def test_restored_target_turns_silent(self):
        """A restored target turns silent unless it announces itself.

        It may have left when no host could store that.
        """
        self.run_paused(self._forgotten())

    def test_damaged(self):
        """An unreadable file is ignored."""
        for body in (b'', b'{', b'[1]', b'[{"target": 3}]', b'\xff\xfe'):
            with self.subTest(body=body):
                self.run_paused(self._damaged(body))

    def test_unsendable_row(self):
        """Guards against a stored row that silences control after a restart."""
        self.run_paused(self._unsendable())

    def test_full_disk(self):
        """A full disk costs only the file."""
        self.run_paused(self._full())

    async def _after_power(self):
        target_store = target_file.TargetFile(self.platter.mount())
        leaving = attrs.evolve(
            READY, target='t2', state=announcements.State.LEAVING
        )
        await target_store.write([attrs.evolve(READY, sequence=7), leaving])
        self.platter.crash()
        found = await target_file.TargetFile(self.platter.mount()).load()
        self.assertEqual([attrs.evolve(READY, sequence=6)], found)

    async def _unsendable(self):
        rows = [attrs.asdict(READY), attrs.asdict(READY)]
        rows[0]['service'] = 'model-\ud83d'
        for row in rows:
            row.pop('state')
        body = json.dumps(rows).encode()
        await self.platter.mount().replace(target_file.NAME, body)
        found = await target_file.TargetFile(self.platter.mount()).load()
        self.assertEqual([attrs.evolve(READY, sequence=-1)], found)

    async def _newer(self):
        target_store = target_file.TargetFile(self.platter.mount())
        await target_store.write([attrs.evolve(READY, sequence=7)])
        found = await target_store.load()
        for state in (
            announcements.State.GONE,
            announcements.State.SILENT,
            announcements.State.LEAVING,
        ):
            held = attrs.evolve(READY, sequence=7, state=state)
            self.assertFalse(found[0].supersedes(held))

    async def _forgotten(self):
        registry = target_registry.TargetRegistry(INTERVAL_SECONDS)
        registry.restore(READY)
        registry.restore(attrs.evolve(READY, target='t2'))
        running = asyncio.create_task(registry.run())
        await asyncio.sleep(INTERVAL_SECONDS * 0.9)
        registry.record(attrs.evolve(READY, target='t2', sequence=1))
        self.assertEqual(
            announcements.State.READY, registry.changed_since(0)[0].state
        )
        await asyncio.sleep(INTERVAL_SECONDS * 1.3)
        running.cancel()
        states = {
            announcement.target: announcement.state
            for announcement in registry.changed_since(0)
        }
        self.assertEqual(announcements.State.SILENT, states['t1'])
        self.assertEqual(announcements.State.READY, states['t2'])

    async def _damaged(self, body):
        files = self.platter.mount()
        await files.replace(target_file.NAME, body)
        self.assertEqual([], await target_file.TargetFile(files).load())

    async def _full(self):
        files = _FullDisk(self.platter.mount())
        target_store = target_file.TargetFile(files)
        await target_store.write([READY])
        files.is_full = False
        await target_store.write([READY])
        rows = json.loads(await files.read(target_file.NAME))
        self.assertEqual('t1', rows[0]['target'])


class _FullDisk:
    """Disk that is full until ``is_full`` is cleared."""

    def __init__(self, files):
        self._files = files
        self.is_full = True

    async def read(self, name):
        return await self._files.read(name)

    async def replace(self, name, body):
        if self.is_full:
            raise failures.DiskFull('no room')
        await self._files.replace(name, body)
