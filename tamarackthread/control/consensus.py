"""Run one replicated log on this control host."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import logging
import random

from tamarackthread.control import (
    applying,
    disk,
    election,
    failures,
    following,
    installing,
    leading,
    parts,
    proposing,
    reconfiguration,
    replica,
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
    """This host's member of one group, a log replicated by a quorum."""

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
        """Touch nothing until ``start``.

        ``members`` maps nodes to addresses for the first formation of the
        group; it's empty for a host that is added to a running group.
        """
        self._state = replica.Replica(
            parts.Parts(
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
        self._applier = applying.Applier(self._state)
        self._installer = installing.Installer(
            self._state, self._applier.restore
        )
        self._leadership = leading.Leader(self._state)
        self._proposer = proposing.Proposer(
            self._state, self._applier, self._leadership
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._reason: Exception | None = failures.ConsensusStopped(
            'not started'
        )

    @property
    def group(self) -> str:
        """Return the group's name."""
        return self._state.parts.group

    @property
    def leader(self) -> str:
        """Return the node believed to lead, empty if none is known."""
        return self._state.leader

    @property
    def is_leader(self) -> bool:
        """Say whether this member leads and has no reason to doubt it."""
        term = self._state.leader_term
        if term is None:
            return False
        return not term.has_lost_quorum(self._state.membership, self._state.now)

    @property
    def term(self) -> int:
        """Return the newest term seen."""
        return self._state.hard.term

    @property
    def commit_index(self) -> int:
        """Return the index up to which entries are known committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Return the index that the machine's state is at."""
        return self._applier.applied_index

    @property
    def disk_id(self) -> bytes:
        """Return the identity of this member's disk."""
        return self._state.hard.disk_id

    @property
    def failure(self) -> Exception | None:
        """Return why this member doesn't run, or ``None`` while it does."""
        return self._reason

    def has_lease(self) -> bool:
        """Say whether no other member can lead at this moment."""
        return self._lease_left() > 0

    def lease_remaining(self) -> float:
        """Return for how many seconds no other member can lead, 0 if unsure.

        This is a promise: a handover waits until it has run out.
        """
        left = self._lease_left()
        term = self._state.leader_term
        if term is None or left <= 0:
            return 0
        term.promise_lease(self._state.now + left)
        return left

    async def start(self) -> None:
        """Read the disk and take part; raises ``LogCorrupt`` with the place."""
        snapshot = await self._state.load()
        self._applier.restore(snapshot)
        self._reason = None
        for work in (
            self._state.log.write_forever(),
            self._applier.run(),
            election.run(self._state, self._leadership.lead),
        ):
            task = asyncio.create_task(work)
            task.add_done_callback(self._on_task_end)
            self._tasks.append(task)

    async def stop(self) -> None:
        """Hand over leadership, if any, and end; doesn't wait for the disk."""
        if self._reason is None:
            await self._leadership.hand_over()
        self._halt(failures.ConsensusStopped())
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
        await self._state.parts.files.close()

    def abort(self) -> None:
        """End at once, as a crash would: no handover, nothing awaited."""
        self._halt(failures.ConsensusStopped('aborted'))

    async def propose(
        self, command: bytes, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> proposing.ProposeResult:
        """Commit and apply a command; only the leader can.

        Raises ``NotLeader``, ``DiskFull`` or ``TooManyProposals`` when nothing
        was proposed, and ``OutcomeUnknown`` when it may yet be committed.
        """
        self._require_running()
        return await self._proposer.propose(command, timeout_seconds)

    async def submit(
        self, command: bytes, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> proposing.ProposeResult:
        """Propose here or at the leader, with the same errors."""
        self._require_running()
        return await self._proposer.submit(command, timeout_seconds)

    async def read_barrier(
        self, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> int:
        """Return an applied index at which a read of the machine is current.

        Every change whose acceptance was seen before the call is in it.
        Raises ``NotLeader`` or ``NoQuorum`` when that can't be known.
        """
        self._require_running()
        index = await self._proposer.read_index(timeout_seconds)
        await self._within(self._applier.wait(index), timeout_seconds)
        return index

    async def check_leader(self, node: str) -> None:
        """Find out whether a member whose connection has closed still leads."""
        if self._reason is None:
            await election.check(self._state, node)

    async def transfer(self) -> None:
        """Hand leadership to another voter and go on as a follower."""
        self._require_running()
        await self._leadership.hand_over()

    def members(self) -> list[messages.Member]:
        """List the members as this one sees them."""
        return reconfiguration.listing(self._state).members

    def add(self, node: str, address: str) -> None:
        """Add a learner, made a voter by itself once it has caught up."""
        self._require_running()
        reconfiguration.add(self._state, node, address)

    def remove(self, node: str) -> None:
        """Remove a member."""
        self._require_running()
        reconfiguration.remove(self._state, node)

    def replace(self, old: str, node: str, address: str) -> None:
        """Have a new member take an old one's place once it has caught up."""
        self._require_running()
        reconfiguration.replace(self._state, old, node, address)

    async def handle(self, request: messages.Request) -> messages.Reply:
        """Answer another member; a coded error becomes a failure reply."""
        try:
            return await self._dispatch(request)
        except errors.CodedError as exc:
            return replies.failure_reply(exc)

    async def _dispatch(self, request: messages.Request) -> messages.Reply:
        self._require_running()
        if request.append is not None:
            appended = await following.answer(self._state, request.append)
            return messages.Reply(append=appended)
        if request.vote is not None:
            vote = await voting.answer(self._state, request.vote)
            return messages.Reply(vote=vote)
        if request.snapshot is not None:
            part = await self._installer.answer(request.snapshot)
            return messages.Reply(snapshot=part)
        return await self._dispatch_asked(request)

    async def _dispatch_asked(
        self, request: messages.Request
    ) -> messages.Reply:
        """Answer what comes on behalf of a caller or an operator."""
        if request.propose is not None:
            return await self._proposer.answer(
                request.propose, DEFAULT_TIMEOUT_SECONDS
            )
        if request.member is not None:
            listed = reconfiguration.answer(self._state, request.member)
            return messages.Reply(member=listed)
        raise errors.RequestUnsupported

    def _lease_left(self) -> float:
        term = self._state.leader_term
        if term is None or self._reason is not None:
            return 0
        # Before an entry of its own term is committed, the leader may not
        # know all that was accepted under the one before.
        if self._state.commit_index < term.first_index:
            return 0
        now = self._state.now
        return max(0, term.lease_until(self._state.membership, now) - now)

    def _require_running(self) -> None:
        if self._reason is not None:
            raise failures.ConsensusStopped(str(self._reason))

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self._reason is not None:
            return
        reason = task.exception()
        _log.critical(
            'consensus: %s stops on %s',
            self.group,
            self._state.parts.node,
            exc_info=reason,
        )
        self._halt(failures.ConsensusStopped(f'stopped by: {reason}'))

    def _halt(self, reason: Exception) -> None:
        if self._reason is None:
            self._reason = reason
            self._state.step_down(str(reason))
        for task in self._tasks:
            task.cancel()
        self._state.log.close(reason)
        self._applier.close(reason)

    async def _within(
        self,
        waiting: collections.abc.Awaitable[None],
        timeout_seconds: float,
    ) -> None:
        try:
            async with asyncio.timeout(timeout_seconds):
                await waiting
        except TimeoutError as exc:
            raise failures.NoQuorum('state was not applied in time') from exc
