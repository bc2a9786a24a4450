"""Test log files against torn writes, corruption and disk errors."""

from __future__ import annotations

import asyncio
import errno
import pathlib
import random
import tempfile
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from bench.history import disks
from tamarackthread.control import disk, failures, records, segments
from tamarackthread.generated.messages import ttypes as messages
from tests import consensus_net

FILE = 'log-0000000000000001'


def entries(first: int, count: int) -> list[messages.LogEntry]:
    """Build distinct entries."""
    return [
        messages.LogEntry(
            index=index, term=1, kind=0, command=f'change {index}'.encode() * 9
        )
        for index in range(first, first + count)
    ]


class FramesTest(unittest.TestCase):
    """Test frames in memory."""

    @hypothesis.settings(
        derandomize=True, max_examples=300, deadline=None, database=None
    )
    @hypothesis.given(
        payloads=strategies.lists(strategies.binary(max_size=700), min_size=1),
        data=strategies.data(),
    )
    def test_flipped_bit_is_detected(self, payloads, data) -> None:
        """Guards against decoding data that was never written."""
        written = bytearray(b''.join(map(records.encode, payloads)))
        offset = data.draw(strategies.integers(0, len(written) - 1))
        written[offset] ^= 1 << data.draw(strategies.integers(0, 7))
        try:
            scan = records.scan(FILE, bytes(written), may_be_torn=True)
        except failures.LogCorrupt:
            return
        count = len(scan.payloads)
        self.assertLess(count, len(payloads))
        self.assertEqual(tuple(payloads[:count]), scan.payloads)

    @hypothesis.settings(
        derandomize=True, max_examples=300, deadline=None, database=None
    )
    @hypothesis.given(
        payloads=strategies.lists(strategies.binary(max_size=700), min_size=1),
        data=strategies.data(),
    )
    def test_short_file_is_cut(self, payloads, data) -> None:
        """Guards against losing whole frames before a torn one."""
        frames = list(map(records.encode, payloads))
        written = b''.join(frames)
        size = data.draw(strategies.integers(0, len(written)))
        scan = records.scan(FILE, written[:size], may_be_torn=True)
        whole = 0
        while (
            whole < len(frames) and len(b''.join(frames[: whole + 1])) <= size
        ):
            whole += 1
        self.assertEqual(tuple(payloads[:whole]), scan.payloads)

    def test_rotten_last_frame_is_refused(self) -> None:
        """Guards against truncating a corrupt last frame as if it were torn."""
        written = bytearray(records.encode(b'first') + records.encode(b'last'))
        written[-1] ^= 1
        with self.assertRaises(failures.LogCorrupt) as caught:
            records.scan(FILE, bytes(written), may_be_torn=True)
        error = caught.exception  # noqa: WPS441
        self.assertEqual(FILE, error.name)
        self.assertEqual(len(records.encode(b'first')), error.offset)

    def test_blank_sectors_are_torn(self) -> None:
        """Guards against refusing a last frame with unwritten sectors."""
        first, last = records.encode(b'first'), records.encode(b'x' * 2000)
        torn = first + last[:600] + bytes(len(last) - 600)
        scan = records.scan(FILE, torn, may_be_torn=True)
        self.assertEqual((b'first',), scan.payloads)
        self.assertEqual(len(first), scan.good_bytes)


class SegmentsTest(consensus_net.PausedCase):
    """Test whole logs on the simulated disk."""

    def test_torn_tail(self) -> None:
        """Guards against a log that can't continue after a torn tail."""
        self.run_paused(self._torn())

    def test_corruption_in_the_middle(self) -> None:
        """Guards against starting on a log with a corrupt frame inside."""
        self.run_paused(self._corrupt())

    def test_truncation_is_replayed(self) -> None:
        """Guards against truncated entries that return after a restart."""
        self.run_paused(self._cut())

    async def _store(self) -> tuple[disks.Platter, segments.Segments]:
        platter = disks.Platter(random.Random(3))
        store = segments.Segments(platter.mount(), 400)
        await store.load()
        return platter, store

    async def _reopen(
        self, platter: disks.Platter
    ) -> tuple[segments.Segments, list[int]]:
        store = segments.Segments(platter.mount(), 400)
        stored = await store.load()
        return store, [entry.index for entry in stored]

    async def _torn(self) -> None:
        platter, store = await self._store()
        await store.append(entries(1, 2))
        await store.append(entries(3, 2))
        platter.seen[FILE] = platter.seen[FILE][:-5]
        store, indexes = await self._reopen(platter)
        self.assertEqual([1, 2], indexes)
        await store.append(entries(3, 1))
        self.assertEqual([1, 2, 3], (await self._reopen(platter))[1])

    async def _corrupt(self) -> None:
        net = consensus_net.Net(segment_bytes=400)
        await net.start(*consensus_net.NODES)
        leader = await net.leader()
        await net.fill(leader, 20)
        net.kill(leader)
        seen = net.platters[leader].seen
        name = min(name for name in seen if name.startswith('log-'))
        seen[name] = seen[name].replace(b'TTf1', b'TTf0', 1)
        with self.assertRaises(failures.LogCorrupt) as caught:
            await net.start(leader)
        error = caught.exception  # noqa: WPS441
        self.assertEqual((name, 0), (error.name, error.offset))
        net.platters[leader].wipe()
        await net.start(leader)
        await net.until(lambda: len(net.machines[leader].rows) == 20)

    async def _cut(self) -> None:
        platter, store = await self._store()
        await store.append(entries(1, 10))
        truncation = messages.LogEntry(
            index=4, term=0, kind=segments.Kind.TRUNCATE, command=b''
        )
        await store.append([truncation, *entries(4, 2)])
        _store, indexes = await self._reopen(platter)
        self.assertEqual([1, 2, 3, 4, 5], indexes)


class FolderDiskTest(unittest.IsolatedAsyncioTestCase):
    """Test storage in a real folder."""

    async def asyncSetUp(self) -> None:
        """Create a temporary folder."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._folder = pathlib.Path(folder.name)
        self._disk = disk.FolderDisk(self._folder)
        self.addAsyncCleanup(self._disk.close)

    async def test_files(self) -> None:
        """Guards against reading a replacement that was not completed."""
        await self._disk.append('one', b'abc')
        await self._disk.append('one', b'def')
        await self._disk.sync('one')
        await self._disk.truncate('one', 5)
        await self._disk.replace('two', b'whole')
        (self._folder / 'two.new').write_bytes(b'half')
        self.assertEqual(b'bcd', await self._disk.read('one', 1, 3))
        self.assertEqual(b'whole', await self._disk.read('two'))
        self.assertEqual(['one', 'two'], await self._disk.names())
        await self._disk.remove('one')
        with self.assertRaises(FileNotFoundError):
            await self._disk.read('one')

    async def test_full_disk_leaves_file_as_it_was(self) -> None:
        """Guards against a partial write left by a full disk."""
        await self._disk.append('one', b'abc')
        full = OSError(errno.ENOSPC, 'full')
        with mock.patch.object(disk.os, 'write', side_effect=[2, full]):
            with self.assertRaises(failures.DiskFull):
                await self._disk.append('one', b'defgh')
        self.assertEqual(b'abc', await self._disk.read('one'))

    async def test_stalled_sync_does_not_block(self) -> None:
        """Guards against a stalled sync that blocks the event loop."""
        await self._disk.append('one', b'abc')
        loop = asyncio.get_running_loop()
        hanging = loop.create_future()
        with mock.patch.object(loop, 'run_in_executor', return_value=hanging):
            syncing = asyncio.create_task(self._disk.sync('one'))
            await asyncio.sleep(0)
        self.assertFalse(syncing.done())
        hanging.set_result(None)
        await syncing
