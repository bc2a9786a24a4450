"""Answer entries' requests about claims for one shard.

Operations that arrive while a proposal is on its way leave together in the
next one, so the cost of a quorum write and a sync is shared under load and
nobody waits for company when it is quiet.
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
LEAST_SECONDS = 0.001
MILLISECONDS = 1000
_log = logging.getLogger('tamarackthread.claims')

_OPEN = frozenset((messages.ClaimState.GRANTED, messages.ClaimState.RUNNING))


class ShardBusy(errors.CodedError):
    """Shard of claims has too many operations waiting."""

    code = 'TT4508'
    status = 503
    ran = messages.Ran.MAY_HAVE_RUN


@attrs.frozen(eq=False)
class _Pending:
    operation: messages.ClaimOperation
    answered: asyncio.Future[messages.ClaimReply]


class ClaimService(claim_record.Watcher):
    """Serve one shard on one control host."""

    def __init__(
        self,
        machine: claims.ClaimsMachine,
        replicated: group.Group,
        proposer: str,
    ) -> None:
        """Watch the machine; ``proposer`` names this start of this process.

        Stamps are read from this process's clock, so the name must change
        when the process starts anew.
        """
        self._machine = machine
        self._group = replicated
        self._proposer = proposer
        self._pending: collections.deque[_Pending] = collections.deque()
        self._proposals: set[asyncio.Task[None]] = set()
        self._changes: dict[bytes, asyncio.Event] = {}
        machine.watch(self)

    def changed(self, key: bytes) -> None:
        """Wake whoever waits for the claim of this key."""
        event = self._changes.pop(key, None)
        if event is not None:
            event.set()

    async def claim(self, ask: messages.ClaimRequest) -> messages.Reply:
        """Claim a key, or tell what is known of it."""
        return await self._submit(messages.ClaimOperation(claim=ask))

    async def finish(self, ask: messages.ClaimFinish) -> messages.Reply:
        """Record a move or the outcome of a claim."""
        return await self._submit(messages.ClaimOperation(finish=ask))

    async def lookup(self, ask: messages.ClaimLookup) -> messages.Reply:
        """Tell what is known of a key, waiting a while for its outcome."""
        await self._group.read_barrier()
        loop = asyncio.get_running_loop()
        wait_ms = min(ask.wait_ms or 0, MAX_WAIT_MS)
        until = loop.time() + wait_ms / MILLISECONDS
        reply = self._machine.lookup(ask.key)
        # A rest below the clock's resolution would be waited for in a spin.
        while reply.state in _OPEN and until - loop.time() > LEAST_SECONDS:
            await self._wait_change(ask.key, until)
            reply = self._machine.lookup(ask.key)
        return messages.Reply(claim=reply)

    async def _submit(
        self,
        operation: messages.ClaimOperation,
    ) -> messages.Reply:
        if len(self._pending) >= MAX_PENDING:
            raise ShardBusy
        waiting = _Pending(
            operation,
            asyncio.get_running_loop().create_future(),
        )
        self._pending.append(waiting)
        self._propose_more()
        reply = await waiting.answered
        if reply.code:
            raise_code(reply.code)
        return messages.Reply(claim=reply)

    def _propose_more(self) -> None:
        if not self._pending or len(self._proposals) >= MAX_PROPOSALS:
            return
        batch = self._take_batch()
        task = asyncio.get_running_loop().create_task(self._propose(batch))
        self._proposals.add(task)
        task.add_done_callback(self._proposed)

    def _proposed(self, task: asyncio.Task[None]) -> None:
        self._proposals.discard(task)
        if not task.cancelled():
            self._propose_more()

    def _take_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        used = 0
        while self._pending and len(batch) < MAX_BATCH:
            finish = self._pending[0].operation.finish
            used += len(finish.body or b'') if finish else 0
            if batch and used > MAX_BATCH_BYTES:
                break
            batch.append(self._pending.popleft())
        return batch

    async def _propose(self, batch: list[_Pending]) -> None:
        stamp = int(asyncio.get_running_loop().time() * MILLISECONDS)
        command = messages.ClaimCommand(
            proposer=self._proposer,
            stamp_ms=stamp,
            operations=[waiting.operation for waiting in batch],
        )
        try:
            replies = await self._replies(command)
        except errors.CodedError as exc:
            self._fail(batch, exc)
            return
        except asyncio.CancelledError:
            self._fail(batch, errors.LinkLost('this process stops'))
            raise
        except Exception:
            _log.exception('claims: a proposal failed')
            self._fail(batch, errors.PeerFailure('internal fault'))
            return
        for waiting, reply in zip(batch, replies, strict=True):
            if not waiting.answered.done():
                waiting.answered.set_result(reply)

    async def _replies(
        self,
        command: messages.ClaimCommand,
    ) -> list[messages.ClaimReply]:
        done = await self._group.propose(wire.encode(command))
        replies = wire.decode(messages.ClaimResults, done.result).replies
        if len(replies or ()) != len(command.operations):
            raise errors.FrameInvalid('claims: wrong number of replies')
        return replies

    def _fail(self, batch: list[_Pending], failure: errors.CodedError) -> None:
        for waiting in batch:
            if not waiting.answered.done():
                waiting.answered.set_exception(failure)

    async def _wait_change(self, key: bytes, until: float) -> None:
        event = self._changes.setdefault(key, asyncio.Event())
        try:
            async with asyncio.timeout_at(until):
                await event.wait()
        except TimeoutError:
            return


def raise_code(code: str) -> None:
    """Raise the error that the machine named by its code."""
    replies.raise_failure(messages.Failure(code=code, text=''))
