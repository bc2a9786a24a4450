"""Switch all ranks of a group to one map at one step.

In every step all ranks must use one map.  What makes that hold:

1. Before anything is armed, the group is held at the step of the switch: it
   can't begin that step until it is told to go on.
2. It is told so only after each rank of the epoch has answered that it is
   armed for the same version and step.

An order without an answer may be carried out seconds later.  It does no harm:
an arm for a step that has begun is refused, a late copy of an arm says what
was confirmed already, and an order of another epoch is refused.  So a switch
that was begun is brought to its end, by the next owner too, which finds the
hold and the armed ranks in their reports.

Where that can't be, because two owners met and a rank has another version
prepared by now, the switch is taken back under a higher fence.  Ranks that
have seen it refuse every arm that may still be on its way, so the ranks stay
disarmed until the group has begun the step.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging

import attrs

from tamarackthread.control.site.maps import ranks

ORDER_TRIES = 40
PAUSE_SECONDS = 0.02
# All callers of a held group wait for the slowest answer.  Ranks answer within
# 10 ms, so an order without one is sent anew after this, some times; a rank that
# is slow or behind a slow link is then given the usual time.
HELD_TIMEOUT_SECONDS = 0.04
FAST_TRIES = 5
# A rank whose copies take longer than worked out refuses to be armed until it
# has them.  Each try is 20 ms for which all callers of the group wait.
ARM_TRIES = 12
# The step of a switch lies two to four steps ahead, each of which takes 0.1 s
# where a group is uneven.
FREE_TRIES = 20
# A report tells of a map once its experts are copied, some hundred milliseconds
# after it was taken; it is asked for so often, with such pauses.
REPORT_READS = 8
REPORT_PAUSE_SECONDS = 0.08
# Ranks that are sent a map at once.  The failure: the map of a large group is
# 26 KB, which to 129 ranks at once takes the owner's link longer than an answer
# is waited for; most are sent again, which takes it longer still, and a map is
# there after two seconds and not after a third of one.  So many go over a small
# host's link within the patience for one of them.
MAX_PARALLEL_PREPARES = 32
# Steps are reported some hundred milliseconds late.
LAG_SECONDS = 0.3
_DISARMED = frozenset((ranks.Outcome.DONE, ranks.Outcome.REFUSED))
_log = logging.getLogger('tamarackthread.control')


@attrs.frozen(kw_only=True)
class Group:
    """The ranks of one epoch of a group, in the order of their numbers."""

    name: str
    epoch: int
    members: tuple[ranks.Rank, ...]
    reports: tuple[ranks.RankReport, ...]

    @property
    def serving(self) -> tuple[ranks.Rank, ...]:
        """Return the ranks that take calls; all if none does.

        Only these tell of the demand and of how many calls a rank has.
        """
        found = tuple(rank for rank in self.members if rank.takes_calls)
        return found or self.members

    @property
    def serving_reports(self) -> tuple[ranks.RankReport, ...]:
        """Return the reports of the ranks in ``busy``."""
        chosen = frozenset(self.serving)
        return tuple(
            report
            for rank, report in zip(self.members, self.reports, strict=True)
            if rank in chosen
        )

    @property
    def step(self) -> int:
        """Return the newest step that was reported."""
        return max(report.step for report in self.reports)

    @property
    def version(self) -> int:
        """Return the version in force."""
        return max(report.version for report in self.reports)

    @property
    def has_mixed_versions(self) -> bool:
        """Tell whether ranks report different maps."""
        return len({report.version for report in self.reports}) > 1

    @property
    def highest_version(self) -> int:
        """Return the highest version that any rank is known to have had."""
        known = [self.version]
        for report in self.reports:
            known.append(report.prepared or 0)
            if report.armed is not None:
                known.append(report.armed.version)
        return max(known)

    @property
    def held(self) -> int | None:
        """Return the step at which the group is held, if any.

        Ranks may be held at different steps; the first of them is in force.
        """
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
    """Give the orders of a switch, as one owner."""

    def __init__(self, asked: ranks.Ranks, fence: int) -> None:
        """Order with ``fence``, higher than any owner before."""
        self._ranks = asked
        self._fence = fence
        self._is_outdated = False

    @property
    def is_outdated(self) -> bool:
        """Tell whether a rank has refused an order for a later owner's."""
        return self._is_outdated

    async def prepare(
        self,
        group: Group,
        version: int,
        placement: ranks.GroupMap,
    ) -> bool:
        """Have every rank copy what a map brings new to it."""
        order = self._order(
            ranks.PREPARE, group, version=version, placement=placement
        )
        # Ranks that are armed refuse, and stay armed until the step of the last
        # switch has begun, some steps after the group was let go.  One rank is
        # asked until it is free, which costs one order a try and not one a rank.
        first = await self._send_until_accepted(
            group.members[0], order, FREE_TRIES
        )
        if first is not ranks.Outcome.DONE:
            _log_unprepared(group, version, [first])
            return False
        places = asyncio.Semaphore(MAX_PARALLEL_PREPARES)
        outcomes = await asyncio.gather(
            *(
                self._send_until_answered(rank, order, places)
                for rank in group.members[1:]
            )
        )
        if all(found is ranks.Outcome.DONE for found in outcomes):
            return True
        _log_unprepared(group, version, outcomes)
        return False

    async def hold(self, group: Group, step: int) -> bool:
        """Hold a group at a step; ``False`` if it had begun it."""
        order = self._order(ranks.HOLD, group, step=step)
        found = await self._send_until_answered(group.members[0], order)
        return found is ranks.Outcome.DONE

    async def fence(self, group: Group, step: int) -> bool:
        """Shut out all earlier owners of a group that is held at a step.

        Each rank is held by this owner too.  Having seen the higher fence it
        refuses an arm that an earlier owner may still have on its way, which
        would else be carried out between our look and our go.
        """
        outcomes = await asyncio.gather(
            *(
                self._hold_only_at(group, rank, report.held, step)
                for rank, report in zip(
                    group.members, group.reports, strict=True
                )
            )
        )
        return all(found is ranks.Outcome.DONE for found in outcomes)

    async def _hold_only_at(
        self,
        group: Group,
        rank: ranks.Rank,
        held: int | None,
        step: int,
    ) -> ranks.Outcome:
        """Hold one rank at a step, and at no other.

        A rank is held at one step at a time.  One that two owners have left
        held at a later step than the rest would refuse this for good, and the
        group would never go on.  Others hold it at ``step`` meanwhile.
        """
        if held is not None and held != step:
            let_go = self._order(ranks.GO, group, step=held)
            await self._send_until_answered(rank, let_go)
        return await self._send_until_answered(
            rank, self._order(ranks.HOLD, group, step=step)
        )

    async def finish(
        self,
        group: Group,
        armed: ranks.Armed,
        holding: tuple[ranks.Rank, ...],
    ) -> bool:
        """Arm every rank of a held group, then let it go on.

        ``holding`` are the ranks that may hold it.
        """
        order = self._order(
            ranks.ARM, group, version=armed.version, step=armed.step
        )
        outcomes = await asyncio.gather(
            *(
                self._send_until_accepted(rank, order, ARM_TRIES)
                for rank in group.members
            )
        )
        if not all(found is ranks.Outcome.DONE for found in outcomes):
            # Another owner has finished it, or the epoch is over.  If neither
            # is so, the group stays held, which is slow and never wrong.
            _log.warning(
                'control: group %s was not armed for step %d, %s',
                group.name,
                armed.step,
                [found.value for found in outcomes],
            )
            return False
        return await self.release(group, armed.step, holding)

    async def roll_back(self, group: Group, armed: ranks.Armed) -> bool:
        """Disarm every rank of a held group and let it go on as it was.

        Only for an owner with a higher fence than any that has armed.
        """
        if not await self.fence(group, armed.step):
            return False
        order = self._order(ranks.DISARM, group, version=armed.version)
        outcomes = await asyncio.gather(
            *(self._send_until_answered(rank, order) for rank in group.members)
        )
        # A rank that was not armed may refuse; that it is not is what counts.
        if not _DISARMED.issuperset(outcomes):
            return False
        return await self.release(group, armed.step, group.members)

    async def release(
        self,
        group: Group,
        step: int,
        holding: tuple[ranks.Rank, ...],
    ) -> bool:
        """Let a group begin the step at which ranks hold it."""
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
        """Send an order that a rank refuses until it is ready for it.

        It can't be armed while it still copies experts, and can't prepare a
        map while it is armed.
        """
        found = await self._send_until_answered(rank, order)
        for _ in range(tries):
            if found is not ranks.Outcome.REFUSED:
                break
            await asyncio.sleep(PAUSE_SECONDS)
            found = await self._send_until_answered(rank, order)
        return found

    async def _send_until_answered(
        self,
        rank: ranks.Rank,
        order: ranks.Order,
        places: contextlib.AbstractAsyncContextManager | None = None,
    ) -> ranks.Outcome:
        """Send an order until the rank has answered.

        Each order says what shall be, so a second copy changes nothing.  One
        of ``places`` is taken while it is sent, and others have it in between.
        """
        hurried = order
        if order.operation != ranks.PREPARE:
            hurried = attrs.evolve(order, timeout_seconds=HELD_TIMEOUT_SECONDS)
        for tries in range(ORDER_TRIES):
            is_hurried = tries < FAST_TRIES
            async with places or contextlib.nullcontext():
                found = await self._send(rank, hurried if is_hurried else order)
            if tries and found is ranks.Outcome.REFUSED:
                return await self._resolve_refused_retry(rank, order)
            if found is not ranks.Outcome.UNKNOWN:
                return found
            await asyncio.sleep(PAUSE_SECONDS)
        return ranks.Outcome.UNKNOWN

    async def _resolve_refused_retry(
        self,
        rank: ranks.Rank,
        order: ranks.Order,
    ) -> ranks.Outcome:
        """Tell whether an order was carried out whose second copy is refused.

        The failure: the answer to a map is lost, and the rank refuses the copy,
        since it has had that version.  Over a link that loses packets that is one
        rank of sixty at nearly each map, and none was switched to for seconds.
        Versions are given out once, so a rank that has this one has this map; one
        that says so wrongly can't be armed, without which nothing is switched.
        """
        if order.operation != ranks.PREPARE:
            return ranks.Outcome.REFUSED
        for _ in range(REPORT_READS):
            report = await self._ranks.report(rank)
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
        found = await self._ranks.order(rank, order)
        if found is ranks.Outcome.OUTDATED:
            self._is_outdated = True
        return found


def _log_unprepared(
    group: Group,
    version: int,
    outcomes: list[ranks.Outcome],
) -> None:
    _log.info(
        'control: group %s did not prepare map %d, %s',
        group.name,
        version,
        [found.value for found in outcomes],
    )
