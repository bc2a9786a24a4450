"""Run this control host's member of a replicated log."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import logging
import random

from tamarackthread.control import (
    applier,
    dependencies,
    disk,
    election,
    failures,
    following,
    installing,
    leading,
    proposing,
    reconfiguration,
    replica,
    resigning,
    state_machine,
    timing,
    transport,
    voting,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, replies

DEFAULT_TIMEOUT_SECONDS = 5.0
_log = logging.getLogger('tamarackthread.control.consensus')


class Consensus:
    """A member of one Raft group: a log replicated to a quorum."""

    def __init__(  # noqa: WPS211  one settled interface, all by keyword
        self,
        *,
        group: str,
        node: str,
        machine: state_machine.StateMachine,
        disk: disk.Disk,  # noqa: WPS442
        transport: transport.Transport,  # noqa: WPS442
        members: collections.abc.Mapping[str, str],
        timing: timing.Timing,  # noqa: WPS442
        rng: random.Random,
    ) -> None:
        """Store the parts; ``start`` reads the disk.

        ``members`` maps nodes to addresses to bootstrap a new group; it is
        empty for a host that joins an existing one.
        """
        self._state = replica.Replica(
            dependencies.Dependencies(
                group=group,
                node=node,
                machine=machine,
                files=disk,
                transport=transport,
                times=timing,
                rng=rng,
                bootstrap=dict(members),
            )
        )
        self._applier = applier.Applier(self._state)
        self._installer = installing.Installer(
            self._state, self._applier.restore
        )
        self._leadership = leading.Leader(self._state)
        self._proposer = proposing.Proposer(
            self._state, self._applier, self._leadership
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._stop_reason: Exception | None = failures.ConsensusStopped(
            'not started'
        )

    @property
    def group(self) -> str:
        """Return the group's name."""
        return self._state.parts.group

    @property
    def leader(self) -> str:
        """Return the node of the known leader, empty if none is known."""
        return self._state.leader

    @property
    def is_leader(self) -> bool:
        """Return whether this member leads and a quorum still answers it."""
        term = self._state.leader_term
        if term is None:
            return False
        return not term.has_lost_quorum(self._state.membership, self._state.now)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._state.hard.term

    @property
    def commit_index(self) -> int:
        """Return the index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Return the index of the last entry applied to the machine."""
        return self._applier.applied_index

    @property
    def disk_id(self) -> bytes:
        """Return the random identity of this member's disk."""
        return self._state.hard.disk_id

    @property
    def failure(self) -> Exception | None:
        """Return why this member is stopped, ``None`` while it runs."""
        return self._stop_reason

    def has_lease(self) -> bool:
        """Return whether this member holds the leader lease."""
        return self._remaining_lease() > 0

    def lease_remaining(self) -> float:
        """Return the seconds left of the lease; a handover waits them out."""
        remaining = self._remaining_lease()
        term = self._state.leader_term
        if term is None or remaining <= 0:
            return 0
        term.promise_lease(self._state.now + remaining)
        return remaining

    async def start(self) -> None:
        """Load the stored state and join the group; raises ``LogCorrupt``."""
        snapshot = await self._state.load()
        self._applier.restore(snapshot)
        self._stop_reason = None
        for coroutine in (
            self._state.log.write_forever(),
            self._applier.run(),
            election.run(self._state, self._leadership.lead),
        ):
            task = asyncio.create_task(coroutine)
            task.add_done_callback(self._on_task_done)
            self._tasks.append(task)

    async def stop(self) -> None:
        """Hand over leadership and a spare vote, and stop; no wait for the disk."""
        if self._stop_reason is None:
            await self._leadership.hand_over()
            await resigning.run(self._state, self._leadership.hand_over)
        self._halt(failures.ConsensusStopped())
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
        await self._state.parts.files.close()

    def abort(self) -> None:
        """Stop at once, as in a crash, without a handover."""
        self._halt(failures.ConsensusStopped('aborted'))

    async def propose(
        self, command: bytes, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> proposing.ProposeResult:
        """Commit and apply a command as the leader.

        Raises ``NotLeader``, ``DiskFull``, ``CommandTooLarge`` or
        ``TooManyProposals`` if nothing was proposed, and ``OutcomeUnknown``
        if the command may still be committed.
        """
        self._require_running()
        return await self._proposer.propose(command, timeout_seconds)

    async def submit(
        self, command: bytes, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> proposing.ProposeResult:
        """Propose here or at the leader; raises the errors of ``propose``."""
        self._require_running()
        return await self._proposer.submit(command, timeout_seconds)

    async def read_barrier(
        self, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> int:
        """Return an applied index at which reads are linearizable.

        Raises ``NotLeader`` or ``NoQuorum`` if the leader can't be confirmed.
        """
        self._require_running()
        index = await self._proposer.read_index(timeout_seconds)
        await self._wait(self._applier.wait(index), timeout_seconds)
        return index

    async def check_leader(self, node: str) -> None:
        """Probe a leader whose connection has closed."""
        if self._stop_reason is None:
            await election.check(self._state, node)

    async def transfer(self) -> None:
        """Hand leadership to another voter and continue as a follower."""
        self._require_running()
        await self._leadership.hand_over()

    def members(self) -> list[messages.Member]:
        """List the members known to this one."""
        return reconfiguration.listing(self._state).members

    def add(self, node: str, address: str) -> None:
        """Add a learner, promoted to voter once it has caught up."""
        self._require_running()
        reconfiguration.add(self._state, node, address)

    def remove(self, node: str) -> None:
        """Remove a member."""
        self._require_running()
        reconfiguration.remove(self._state, node)

    def replace(self, old: str, node: str, address: str) -> None:
        """Replace a member by a learner, promoted once it has caught up."""
        self._require_running()
        reconfiguration.replace(self._state, old, node, address)

    async def handle(self, request: messages.Request) -> messages.Reply:
        """Answer a request of another member; coded errors become replies."""
        try:
            return await self._dispatch(request)
        except errors.CodedError as exc:
            return replies.failure_reply(exc)

    async def _dispatch(self, request: messages.Request) -> messages.Reply:
        self._require_running()
        if request.append is not None:
            append = await following.answer(self._state, request.append)
            return messages.Reply(append=append)
        if request.vote is not None:
            vote = await voting.answer(self._state, request.vote)
            return messages.Reply(vote=vote)
        if request.snapshot is not None:
            received = await self._installer.answer(request.snapshot)
            return messages.Reply(snapshot=received)
        return await self._dispatch_client(request)

    async def _dispatch_client(
        self, request: messages.Request
    ) -> messages.Reply:
        """Answer forwarded proposals and membership changes."""
        if request.propose is not None:
            return await self._proposer.answer(
                request.propose, DEFAULT_TIMEOUT_SECONDS
            )
        if request.member is not None:
            member = reconfiguration.answer(self._state, request.member)
            return messages.Reply(member=member)
        raise errors.RequestUnsupported

    def _remaining_lease(self) -> float:
        term = self._state.leader_term
        if term is None or self._stop_reason is not None:
            return 0
        # Until an entry of its own term is committed, a leader may lack
        # entries committed by its predecessor.
        if self._state.commit_index < term.first_index:
            return 0
        now = self._state.now
        return max(0, term.lease_until(self._state.membership, now) - now)

    def _require_running(self) -> None:
        if self._stop_reason is not None:
            raise failures.ConsensusStopped(str(self._stop_reason))

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self._stop_reason is not None:
            return
        reason = task.exception()
        _log.critical(
            'consensus: %s stops on %s',
            self.group,
            self._state.parts.node,
            exc_info=reason,
        )
        self._halt(
            failures.ConsensusStopped(f'stopped after an error: {reason}')
        )

    def _halt(self, reason: Exception) -> None:
        if self._stop_reason is None:
            self._stop_reason = reason
            self._state.step_down(str(reason))
        for task in self._tasks:
            task.cancel()
        self._state.log.close(reason)
        self._applier.close(reason)

    async def _wait(
        self,
        awaitable: collections.abc.Awaitable[None],
        timeout_seconds: float,
    ) -> None:
        try:
            async with asyncio.timeout(timeout_seconds):
                await awaitable
        except TimeoutError as exc:
            raise failures.NoQuorum(
                'timed out waiting for entries to be applied'
            ) from exc
