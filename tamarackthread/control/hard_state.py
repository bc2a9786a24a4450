"""Keep a member's term and vote, which must last before they are answered."""

from __future__ import annotations

import asyncio

from tamarackthread.control import disk, failures, records
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import wire

FILE = 'state'
DISK_ID_BYTES = 16


class HardState:
    """Hold the term, the vote in it, and the identity of this disk.

    The identity is drawn when the folder is first used.  A member whose disk
    was wiped therefore comes back as somebody else, and its promises as its
    old self are not asked of it.
    """

    def __init__(self, files: disk.Disk) -> None:
        """Hold nothing until ``load``."""
        self._files = files
        self._term = 0
        self._vote = ''
        self._disk_id = b''
        self._changes = 0
        self._settled = 0
        self._lock = asyncio.Lock()

    @property
    def term(self) -> int:
        """Return the newest term seen."""
        return self._term

    @property
    def vote(self) -> str:
        """Return the node voted for in this term, empty if none."""
        return self._vote

    @property
    def disk_id(self) -> bytes:
        """Return the random identity of this disk's folder."""
        return self._disk_id

    async def load(self, fresh_disk_id: bytes) -> None:
        """Read the state, or begin it on an empty disk with a fresh id."""
        try:
            data = await self._files.read(FILE)
        except FileNotFoundError:
            self._disk_id = fresh_disk_id
            self._changes += 1
            await self.persist()
            return
        scan = records.scan(FILE, data, may_be_torn=False)
        if not scan.payloads:
            raise failures.LogCorrupt('file is empty', FILE, 0)
        stored = wire.decode(messages.VoteRequest, scan.payloads[0])
        self._term = stored.term
        self._vote = stored.candidate
        self._disk_id = stored.disk_id

    def advance(self, term: int, vote: str = '') -> None:
        """Move to a later term, or vote in this one; ``persist`` makes it last.

        The memory moves first, so that nothing of an older term is accepted
        while the disk is busy; no reply leaves before ``persist`` returns.
        """
        if term < self._term:
            raise ValueError(f'term {term} after {self._term}')
        if (term, vote) == (self._term, self._vote):
            return
        self._term = term
        self._vote = vote
        self._changes += 1

    async def persist(self) -> None:
        """Return once the term and vote of this moment will last."""
        wanted = self._changes
        while self._settled < wanted:
            async with self._lock:
                await self._write(wanted)

    async def _write(self, wanted: int) -> None:
        if self._settled >= wanted:
            return
        covered = self._changes
        stored = messages.VoteRequest(
            term=self._term, candidate=self._vote, disk_id=self._disk_id
        )
        await self._files.replace(FILE, records.encode(wire.encode(stored)))
        self._settled = covered
