"""Persist a member's term and vote before it answers with them."""

from __future__ import annotations

import asyncio

from tamarackthread.control import disk, failures, records
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import wire

FILE = 'state'
DISK_ID_BYTES = 16


class HardState:
    """The current term, the vote in it, and the identity of this disk.

    The identity is random, so that a member with a wiped disk is not
    counted as the voter it was before.
    """

    def __init__(self, files: disk.Disk) -> None:
        """Start empty until ``load``."""
        self._files = files
        self._term = 0
        self._vote = ''
        self._disk_id = b''
        self._changes = 0
        self._persisted = 0
        self._lock = asyncio.Lock()

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._term

    @property
    def vote(self) -> str:
        """Return the node voted for in this term, empty if none."""
        return self._vote

    @property
    def disk_id(self) -> bytes:
        """Return the random identity of this disk."""
        return self._disk_id

    async def load(self, fresh_disk_id: bytes) -> None:
        """Read the state, or create it on an empty disk with a fresh id."""
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

    def advance(self, term: int) -> None:
        """Move to a later term, without a vote; ``persist`` stores it."""
        # Memory changes first: messages of an older term are rejected while
        # the disk is busy, and no reply is sent before ``persist`` returns.
        if term <= self._term:
            raise ValueError(f'term {term} is not later than {self._term}')
        self._term = term
        self._vote = ''
        self._changes += 1

    def vote_for(self, node: str) -> None:
        """Vote in this term, once; ``persist`` stores it."""
        if self._vote == node:
            return
        if self._vote:
            raise ValueError(f'voted for {self._vote} in term {self._term}')
        self._vote = node
        self._changes += 1

    async def persist(self) -> None:
        """Return once the present term and vote are durable."""
        required = self._changes
        while self._persisted < required:
            async with self._lock:
                await self._write(required)

    async def _write(self, required: int) -> None:
        if self._persisted >= required:
            return
        written = self._changes
        stored = messages.VoteRequest(
            term=self._term, candidate=self._vote, disk_id=self._disk_id
        )
        await self._files.replace(FILE, records.encode(wire.encode(stored)))
        self._persisted = written
