"""Prove that targets known before a stop are known at once after it."""

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
BEAT = 1.0


class TargetFileCase(policy_case.PausedCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.platter = disks.Platter(random.Random(3))

    def test_after_power(self):
        """All hosts lose power, and nobody knows a target for a beat.

        Callers wait or are refused meanwhile, though every target is where it
        was.  What was written, and synced, is known as soon as a host runs.
        """
        self.run_paused(self._after_power())

    def test_newer_word_counts(self):
        """A target that has gone since stays gone where that was heard.

        The file tells of it as ready.  Whoever has heard its farewell, or that
        it is silent, holds a sequence that the file's word does not follow.
        """
        self.run_paused(self._newer())

    def test_forgotten(self):
        """A target that said its farewell to a killed process gets work again.

        Everything is killed before the farewell is written.  The file tells of
        the target as ready, and it may still serve; it has to fall silent
        within the two seconds that it has for leaving.
        """
        self.run_paused(self._forgotten())

    def test_damaged(self):
        """A file that can't be read is left, and the host starts without."""
        for body in (b'', b'{', b'[1]', b'[{"target": 3}]', b'\xff\xfe'):
            with self.subTest(body=body):
                self.run_paused(self._damaged(body))

    def test_full_disk(self):
        """A disk without room costs the file and nothing else."""
        self.run_paused(self._full())

    async def _after_power(self):
        kept = target_file.TargetFile(self.platter.mount())
        leaving = attrs.evolve(
            READY, target='t2', state=announcements.State.LEAVING
        )
        await kept.write([attrs.evolve(READY, sequence=7), leaving])
        self.platter.crash()
        found = await target_file.TargetFile(self.platter.mount()).load()
        self.assertEqual([attrs.evolve(READY, sequence=6)], found)

    async def _newer(self):
        kept = target_file.TargetFile(self.platter.mount())
        await kept.write([attrs.evolve(READY, sequence=7)])
        found = await kept.load()
        for state in (
            announcements.State.GONE,
            announcements.State.SILENT,
            announcements.State.LEAVING,
        ):
            held = attrs.evolve(READY, sequence=7, state=state)
            self.assertFalse(found[0].follows(held))

    async def _forgotten(self):
        known = target_registry.TargetRegistry(BEAT)
        known.restore(READY)
        known.restore(attrs.evolve(READY, target='t2'))
        running = asyncio.create_task(known.run())
        await asyncio.sleep(BEAT * 0.9)
        known.record(attrs.evolve(READY, target='t2', sequence=1))
        self.assertEqual(
            announcements.State.READY, known.changed_since(0)[0].state
        )
        await asyncio.sleep(BEAT * 1.3)
        running.cancel()
        states = {said.target: said.state for said in known.changed_since(0)}
        self.assertEqual(announcements.State.SILENT, states['t1'])
        self.assertEqual(announcements.State.READY, states['t2'])

    async def _damaged(self, body):
        files = self.platter.mount()
        await files.replace(target_file.NAME, body)
        self.assertEqual([], await target_file.TargetFile(files).load())

    async def _full(self):
        files = _FullDisk(self.platter.mount())
        kept = target_file.TargetFile(files)
        await kept.write([READY])
        files.is_full = False
        await kept.write([READY])
        rows = json.loads(await files.read(target_file.NAME))
        self.assertEqual('t1', rows[0]['target'])


class _FullDisk:
    """Refuse every write until told otherwise."""

    def __init__(self, files):
        self._files = files
        self.is_full = True

    async def read(self, name):
        return await self._files.read(name)

    async def replace(self, name, body):
        if self.is_full:
            raise failures.DiskFull('no room')
        await self._files.replace(name, body)
