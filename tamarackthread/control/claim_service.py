"""Serve entries' claim requests for one shard.

Operations that arrive during a proposal are batched into the next one, which
shares quorum writes under load and adds no delay otherwise.
"""

from __future__ import annotations

import asyncio
import collections
import logging

import attrs

from tamarackthread.control import claim_record, claims, group
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, replies, wire

MAX_BATCH = 256
MAX_BATCH_BYTES = 256 * 1024
MAX_PROPOSALS = 4
MAX_PENDING = 4096
MAX_WAIT_MS = 5000
MIN_WAIT_SECONDS = 0.001
MILLISECONDS = 1000
_log = logging.getLogger('tamarackthread.claims')

_OPEN = frozenset((messages.ClaimState.GRANTED, messages.ClaimState.RUNNING))


class ShardBusy(errors.CodedError):
    """Claims shard has too many pending operations."""

    code = 'TT4508'
    status = 503
    ran = messages.Ran.MAY_HAVE_RUN


@attrs.frozen(eq=False)
class _Pending:
    operation: messages.ClaimOperation
    reply_future: asyncio.Future[messages.ClaimReply]


class ClaimService(claim_record.Watcher):
    """Serve one shard on one control host."""

    def __init__(
        self,
        machine: claims.ClaimsMachine,
        replicated: group.Group,
        proposer: str,
    ) -> None:
        """Watch the machine; ``proposer`` is unique to this process start."""
        self._machine = machine
        self._group = replicated
        self._proposer = proposer
        self._pending: collections.deque[_Pending] = collections.deque()
        self._proposals: set[asyncio.Task[None]] = set()
        self._changes: dict[bytes, asyncio.Event] = {}
        machine.watch(self)

    def changed(self, key: bytes) -> None:
        """Wake the lookups that wait for this key."""
        event = self._changes.pop(key, None)
        if event is not None:
            event.set()

    async def claim(self, request: messages.ClaimRequest) -> messages.Reply:
        """Claim a key, or return its state if it is already claimed."""
        return await self._submit(messages.ClaimOperation(claim=request))

    async def finish(self, request: messages.ClaimFinish) -> messages.Reply:
        """Record a handover or the outcome of a claim."""
        return await self._submit(messages.ClaimOperation(finish=request))

    async def lookup(self, request: messages.ClaimLookup) -> messages.Reply:
        """Return the state of a key, waiting up to ``wait_ms`` for its outcome."""
        await self._group.read_barrier()
        loop = asyncio.get_running_loop()
        wait_ms = min(request.wait_ms or 0, MAX_WAIT_MS)
        deadline = loop.time() + wait_ms / MILLISECONDS
        reply = self._machine.lookup(request.key)
        # A timeout below the clock's resolution would busy-wait.
        while (
            reply.state in _OPEN and deadline - loop.time() > MIN_WAIT_SECONDS
        ):
            await self._wait_for_change(request.key, deadline)
            reply = self._machine.lookup(request.key)
        return messages.Reply(claim=reply)

    async def _submit(
        self,
        operation: messages.ClaimOperation,
    ) -> messages.Reply:
        if len(self._pending) >= MAX_PENDING:
            raise ShardBusy
        pending = _Pending(
            operation,
            asyncio.get_running_loop().create_future(),
        )
        self._pending.append(pending)
        self._start_proposal()
        reply = await pending.reply_future
        if reply.code:
            raise_code(reply.code)
        return messages.Reply(claim=reply)

    def _start_proposal(self) -> None:
        if not self._pending or len(self._proposals) >= MAX_PROPOSALS:
            return
        batch = self._take_batch()
        task = asyncio.get_running_loop().create_task(self._propose(batch))
        self._proposals.add(task)
        task.add_done_callback(self._proposal_done)

    def _proposal_done(self, task: asyncio.Task[None]) -> None:
        self._proposals.discard(task)
        if not task.cancelled():
            self._start_proposal()

    def _take_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        batch_bytes = 0
        while self._pending and len(batch) < MAX_BATCH:
            finish = self._pending[0].operation.finish
            batch_bytes += len(finish.body or b'') if finish else 0
            if batch and batch_bytes > MAX_BATCH_BYTES:
                break
            batch.append(self._pending.popleft())
        return batch

    async def _propose(self, batch: list[_Pending]) -> None:
        stamp = int(asyncio.get_running_loop().time() * MILLISECONDS)
        command = messages.ClaimCommand(
            proposer=self._proposer,
            stamp_ms=stamp,
            operations=[pending.operation for pending in batch],
        )
        try:
            replies = await self._commit(command)
        except errors.CodedError as exc:
            self._fail(batch, exc)
            return
        except asyncio.CancelledError:
            self._fail(batch, errors.LinkLost('control host is shutting down'))
            raise
        except Exception:
            _log.exception('claims: proposal failed')
            self._fail(batch, errors.PeerFailure('internal error'))
            return
        for pending, reply in zip(batch, replies, strict=True):
            if not pending.reply_future.done():
                pending.reply_future.set_result(reply)

    async def _commit(
        self,
        command: messages.ClaimCommand,
    ) -> list[messages.ClaimReply]:
        committed = await self._group.propose(wire.encode(command))
        replies = wire.decode(messages.ClaimResults, committed.result).replies
        if len(replies or ()) != len(command.operations):
            raise errors.FrameInvalid(
                'claims: number of replies differs from number of operations'
            )
        return replies

    def _fail(self, batch: list[_Pending], failure: errors.CodedError) -> None:
        for pending in batch:
            if not pending.reply_future.done():
                pending.reply_future.set_exception(failure)

    async def _wait_for_change(self, key: bytes, deadline: float) -> None:
        event = self._changes.setdefault(key, asyncio.Event())
        try:
            async with asyncio.timeout_at(deadline):
                await event.wait()
        except TimeoutError:
            return


def raise_code(code: str) -> None:
    """Raise the error class that has this code."""
    replies.raise_failure(messages.Failure(code=code, text=''))
