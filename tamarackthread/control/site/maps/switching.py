"""Switch all ranks of a group to a new map at the same step.

A map assigns experts to ranks.  A step is a forward pass of all ranks; an epoch
is the lifetime of a group with the same ranks; an armed rank has been ordered
to change maps at a given step.

No step may run with two maps.  Two rules ensure that:

1. Before any rank is armed, the group is held at the step of the switch and
   can't begin it until it is released.
2. It is released only after every rank of the epoch has confirmed that it is
   armed for the same version and step.

An unanswered order may still be carried out later.  That is harmless: ranks
refuse an arm for a step that has begun and any order of another epoch, and a
second copy of an arm changes nothing.  The next owner finds the hold and the
armed ranks in the reports and completes the switch.

If it can't, because another owner has prepared a different version meanwhile,
the switch is rolled back under a higher fence, which makes ranks refuse arms
that are still on their way.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging

import attrs

from tamarackthread.control.site.maps import ranks

ORDER_TRIES = 40
PAUSE_SECONDS = 0.02
# Timeout of the first attempts while callers wait for a held group; an order is
# sent anew after it.  Slow ranks and links get the usual timeout afterwards.
HELD_TIMEOUT_SECONDS = 0.04
FAST_TRIES = 5
# Attempts to arm a rank that refuses because its copies are not complete; callers
# of the held group wait meanwhile.
ARM_TRIES = 12
# Attempts to prepare a rank that is still armed for the last switch, whose step
# lies a few steps ahead.
PREPARE_TRIES = 20
# Reads of a rank's report, and the pause between them, to learn whether a map is
# prepared after a retry of the order was refused.
REPORT_READS = 8
REPORT_PAUSE_SECONDS = 0.08
# Maps sent concurrently.  Sent to all ranks of a large group at once, they would
# fill the owner's link for longer than the timeout and be sent again.
MAX_PARALLEL_PREPARES = 32
# Maximum age of a report.  Recovery waits for this long after fencing, so that
# the next reports show all earlier orders.
REPORT_LAG_SECONDS = 0.3
_DISARMED = frozenset((ranks.Outcome.DONE, ranks.Outcome.REFUSED))
_log = logging.getLogger('tamarackthread.control')


@attrs.frozen(kw_only=True)
class Group:
    """The ranks of one epoch of a group, in rank order."""

    name: str
    epoch: int
    members: tuple[ranks.Rank, ...]
    reports: tuple[ranks.RankReport, ...]

    @property
    def serving(self) -> tuple[ranks.Rank, ...]:
        """Return the ranks that take calls, or all if none does."""
        outcome = tuple(rank for rank in self.members if rank.takes_calls)
        return outcome or self.members

    @property
    def serving_reports(self) -> tuple[ranks.RankReport, ...]:
        """Return the reports of the ranks in ``serving``."""
        chosen = frozenset(self.serving)
        return tuple(
            report
            for rank, report in zip(self.members, self.reports, strict=True)
            if rank in chosen
        )

    @property
    def step(self) -> int:
        """Return the latest step in any report."""
        return max(report.step for report in self.reports)

    @property
    def version(self) -> int:
        """Return the version in force."""
        return max(report.version for report in self.reports)

    @property
    def has_mixed_versions(self) -> bool:
        """Return whether ranks report different versions."""
        return len({report.version for report in self.reports}) > 1

    @property
    def highest_version(self) -> int:
        """Return the highest version that any rank has had or prepared."""
        known = [self.version]
        for report in self.reports:
            known.append(report.prepared or 0)
            if report.armed is not None:
                known.append(report.armed.version)
        return max(known)

    @property
    def held(self) -> int | None:
        """Return the first step at which any rank holds the group, if any."""
        held = (report.held for report in self.reports)
        return min((step for step in held if step is not None), default=None)

    @property
    def armed(self) -> ranks.Armed | None:
        """Return the switch that ranks are armed for, if any."""
        for report in self.reports:
            if report.armed is not None:
                return report.armed
        return None


class Switcher:
    """Send the orders of a switch on behalf of one owner."""

    def __init__(self, client: ranks.Ranks, fence: int) -> None:
        """Send orders with ``fence``, which must exceed all earlier ones."""
        self._ranks = client
        self._fence = fence
        self._is_outdated = False

    @property
    def is_outdated(self) -> bool:
        """Return whether a rank has seen a higher fence."""
        return self._is_outdated

    async def prepare(
        self,
        group: Group,
        version: int,
        placement: ranks.GroupMap,
    ) -> bool:
        """Order all ranks to copy their new experts; return if all accepted."""
        order = self._order(
            ranks.PREPARE, group, version=version, placement=placement
        )
        # Armed ranks refuse until the last switch's step has begun.  Only one is
        # polled, to send fewer orders.
        first = await self._send_until_accepted(
            group.members[0], order, PREPARE_TRIES
        )
        if first is not ranks.Outcome.DONE:
            _log_unprepared(group, version, [first])
            return False
        slots = asyncio.Semaphore(MAX_PARALLEL_PREPARES)
        outcomes = await asyncio.gather(
            *(
                self._send_until_answered(rank, order, slots)
                for rank in group.members[1:]
            )
        )
        if all(outcome is ranks.Outcome.DONE for outcome in outcomes):
            return True
        _log_unprepared(group, version, outcomes)
        return False

    async def hold(self, group: Group, step: int) -> bool:
        """Hold a group at a step; return ``False`` if that had begun."""
        order = self._order(ranks.HOLD, group, step=step)
        outcome = await self._send_until_answered(group.members[0], order)
        return outcome is ranks.Outcome.DONE

    async def fence(self, group: Group, step: int) -> bool:
        """Raise the fence on all ranks of a group that is held at a step.

        Otherwise a late arm order of an earlier owner could be carried out
        just before the release.
        """
        outcomes = await asyncio.gather(
            *(
                self._hold_only_at(group, rank, report.held, step)
                for rank, report in zip(
                    group.members, group.reports, strict=True
                )
            )
        )
        return all(outcome is ranks.Outcome.DONE for outcome in outcomes)

    async def _hold_only_at(
        self,
        group: Group,
        rank: ranks.Rank,
        held: int | None,
        step: int,
    ) -> ranks.Outcome:
        """Hold one rank at ``step``, releasing it from any other step.

        A rank has one hold at a time and would refuse a second one.  The other
        ranks hold the group meanwhile.
        """
        if held is not None and held != step:
            release_order = self._order(ranks.GO, group, step=held)
            await self._send_until_answered(rank, release_order)
        return await self._send_until_answered(
            rank, self._order(ranks.HOLD, group, step=step)
        )

    async def finish(
        self,
        group: Group,
        armed: ranks.Armed,
        holding: tuple[ranks.Rank, ...],
    ) -> bool:
        """Arm every rank of a held group, then release the ranks ``holding`` it."""
        order = self._order(
            ranks.ARM, group, version=armed.version, step=armed.step
        )
        outcomes = await asyncio.gather(
            *(
                self._send_until_accepted(rank, order, ARM_TRIES)
                for rank in group.members
            )
        )
        if not all(outcome is ranks.Outcome.DONE for outcome in outcomes):
            # Another owner has completed the switch, or the epoch is over.  In
            # any other case the group stays held, which is slow but safe.
            _log.warning(
                'control: group %s was not armed for step %d, %s',
                group.name,
                armed.step,
                [outcome.value for outcome in outcomes],
            )
            return False
        return await self.release(group, armed.step, holding)

    async def roll_back(self, group: Group, armed: ranks.Armed) -> bool:
        """Disarm every rank of a held group and release it with its old map.

        The fence must exceed that of every owner that has sent an arm order.
        """
        if not await self.fence(group, armed.step):
            return False
        order = self._order(ranks.DISARM, group, version=armed.version)
        outcomes = await asyncio.gather(
            *(self._send_until_answered(rank, order) for rank in group.members)
        )
        # A rank that was not armed may refuse to be disarmed.
        if not _DISARMED.issuperset(outcomes):
            return False
        return await self.release(group, armed.step, group.members)

    async def release(
        self,
        group: Group,
        step: int,
        holding: tuple[ranks.Rank, ...],
    ) -> bool:
        """Let a group begin the step at which the ranks ``holding`` hold it; return
        whether any of them has accepted the release.
        """
        order = self._order(ranks.GO, group, step=step)
        outcomes = await asyncio.gather(
            *(self._send_until_answered(rank, order) for rank in holding)
        )
        return ranks.Outcome.DONE in outcomes

    def _order(
        self,
        operation: str,
        group: Group,
        *,
        version: int = 0,
        step: int = 0,
        placement: ranks.GroupMap = (),
    ) -> ranks.Order:
        return ranks.Order(
            operation=operation,
            epoch=group.epoch,
            fence=self._fence,
            version=version,
            step=step,
            placement=placement,
        )

    async def _send_until_accepted(
        self,
        rank: ranks.Rank,
        order: ranks.Order,
        tries: int,
    ) -> ranks.Outcome:
        """Send an order, again while the rank refuses it as not ready."""
        outcome = await self._send_until_answered(rank, order)
        for _ in range(tries):
            if outcome is not ranks.Outcome.REFUSED:
                break
            await asyncio.sleep(PAUSE_SECONDS)
            outcome = await self._send_until_answered(rank, order)
        return outcome

    async def _send_until_answered(
        self,
        rank: ranks.Rank,
        order: ranks.Order,
        slots: contextlib.AbstractAsyncContextManager | None = None,
    ) -> ranks.Outcome:
        """Send an order until the rank responds, each time in one of ``slots``."""
        fast_order = order
        if order.operation != ranks.PREPARE:
            fast_order = attrs.evolve(
                order, timeout_seconds=HELD_TIMEOUT_SECONDS
            )
        for attempt in range(ORDER_TRIES):
            is_fast = attempt < FAST_TRIES
            async with slots or contextlib.nullcontext():
                outcome = await self._send(
                    rank, fast_order if is_fast else order
                )
            if attempt and outcome is ranks.Outcome.REFUSED:
                return await self._resolve_refused_retry(rank, order)
            if outcome is not ranks.Outcome.UNKNOWN:
                return outcome
            await asyncio.sleep(PAUSE_SECONDS)
        return ranks.Outcome.UNKNOWN

    async def _resolve_refused_retry(
        self,
        rank: ranks.Rank,
        order: ranks.Order,
    ) -> ranks.Outcome:
        """Return the outcome of an order whose second copy was refused.

        A rank refuses a map that it has prepared already.  Versions are unique,
        so its report shows whether the first copy was carried out.
        """
        if order.operation != ranks.PREPARE:
            return ranks.Outcome.REFUSED
        for _ in range(REPORT_READS):
            report = await self._ranks.read_back(rank)
            if report is not None and report.prepared == order.version:
                return ranks.Outcome.DONE
            await asyncio.sleep(REPORT_PAUSE_SECONDS)
        return ranks.Outcome.REFUSED

    async def _send(
        self,
        rank: ranks.Rank,
        order: ranks.Order,
    ) -> ranks.Outcome:
        """Send an order once."""
        outcome = await self._ranks.order(rank, order)
        if outcome is ranks.Outcome.OUTDATED:
            self._is_outdated = True
        return outcome


def _log_unprepared(
    group: Group,
    version: int,
    outcomes: list[ranks.Outcome],
) -> None:
    _log.info(
        'control: group %s did not prepare map %d, %s',
        group.name,
        version,
        [outcome.value for outcome in outcomes],
    )
