"""Keep the owner's state of a group between discoveries."""

from __future__ import annotations

import attrs

from tamarackthread.control.site.maps import demand, ranks, switching
from tamarackthread.policy import group_planning
from tamarackthread.shared.site import configuration

# Steps shorter than this delay no caller, even with the time that reading a prompt
# adds.
LONG_STEP_SECONDS = 0.075
# Minimum number of steps, or duration, over which the step time is averaged, so
# that a single long prompt does not count as imbalance.
MIN_TIMED_STEPS = 4
MAX_TIMING_SECONDS = 0.5
# Time for which a group counts as loaded after its last long step, so that the next
# shift of demand is seen without delay.
WATCH_SECONDS = 4.0
# Fraction of a rank's slots above which the group counts as full: calls queue for
# slots, and shorter steps raise its throughput.
FULL_FRACTION = 0.7
# Minimum calls per rank for which a switch pays off.
MIN_CALLS = 0.8
# Fraction of the slack between a step and the callers' maximum pause that a reading
# may use.  The rest is for prompts, copies and network delay.
STALL_FRACTION = 0.25
# Minimum slack, as a fraction of the maximum pause.
MIN_SLACK_FRACTION = 0.2
# Factor on the copy time, as copies share the rank's link.
COPY_SLACK = 1.15
# Backoff after a rolled back switch.  The copy time allowed is doubled as well, up
# to a limit, since the group is not observed while it copies.
BACKOFF_SECONDS = 5.0
MAX_COPY_SLACK = 4 * COPY_SLACK
# If copying one expert per set takes longer than this, maps are planned by the time
# that their copies cost.
LONG_COPIES_SECONDS = 0.25
# Time from planning to the step of the switch, without the copies.
SWITCH_SECONDS = 0.3
# Age of a report, and the age up to which one may predate a release.
REPORT_LAG_SECONDS = 0.2
STALE_REPORT_SECONDS = 1.0
# Initial step time: long, so that a new owner plans at once.
INITIAL_STEP_SECONDS = LONG_STEP_SECONDS


@attrs.define(eq=False)
class GroupState:
    """State of a group, from its reports, its counts and the owner's orders.

    ``placement`` is the map of ``version`` in ``epoch``, and ``max_version`` the
    highest version issued, whether or not it came into force.  ``group`` is
    ``None`` while reports disagree; ``held`` is the group if found held.
    ``gap`` is the callers' maximum pause in seconds, 0 if unlimited.
    ``min_step`` is the time of a step without calls in seconds, 0 if unknown.
    ``calls`` is the mean number of running and waiting calls per rank.
    """

    shape: configuration.ExpertLayout
    service: str = ''
    gap: float = 0
    min_step: float = 0
    group: switching.Group | None = None
    held: switching.Group | None = None
    epoch: int = -1
    version: int = -1
    placement: ranks.GroupMap = ()
    max_version: int = 0
    demand: demand.Demand = attrs.field(factory=demand.Demand)
    step_seconds: float = INITIAL_STEP_SECONDS
    copy_slack: float = COPY_SLACK
    read_at: float = 0
    calls: float = 0
    _backoff_until: float = 0
    _released_step: int = -1
    _released_at: float = 0
    _step_epoch: int = -1
    _step: int = 0
    _step_at: float = 0
    _loaded_at: float = -WATCH_SECONDS

    def update(self, group: switching.Group, now: float) -> None:
        """Update the state from the reports of all ranks."""
        self.group = group
        self.max_version = max(self.max_version, group.highest_version)
        reports = group.serving_reports
        self._time_step(group.epoch, reports[0].step, now)
        self.calls = sum(map(_calls_of, reports)) / len(reports)
        self._update_load(self.calls, now)

    def update_from(self, report: ranks.RankReport, now: float) -> None:
        """Update the step time and the load from one rank's report."""
        self._time_step(report.epoch, report.step, now)
        calls = _calls_of(report)
        if self.has_long_copies:
            # With few calls a single rank is often idle.
            calls = max(calls, self.calls)
        self._update_load(calls, now)

    @property
    def is_full(self) -> bool:
        """Return whether calls queue for slots at the ranks."""
        slot_count = self.shape.slots
        return bool(slot_count) and self.calls >= FULL_FRACTION * slot_count

    @property
    def has_long_copies(self) -> bool:
        """Return whether copies take a large part of a demand's duration."""
        seconds = self.shape.sets * self.shape.copy_seconds
        return seconds > LONG_COPIES_SECONDS

    @property
    def awaits_demand(self) -> bool:
        """Return whether planning must wait for a reading of the new demand."""
        return self.has_long_copies and self.demand.is_mixed

    def cost(self, now: float) -> group_planning.MapCost:
        """Return what a map planned now costs in time."""
        return group_planning.MapCost(
            copy_seconds=self.shape.copy_seconds * self.copy_slack,
            switch_seconds=SWITCH_SECONDS,
            stable_seconds=self.demand.remaining_seconds(now),
        )

    def max_parallel_reads(self, stall_seconds: float) -> int | None:
        """Return how many ranks to read concurrently, ``None`` for all.

        Each reading stalls the group for ``stall_seconds``; step and stalls
        together must stay within the callers' maximum pause.  One rank is
        always read, since only a balanced map shortens the steps.
        """
        if not self.gap or not stall_seconds:
            return None
        slack = max(self.gap - self.step_seconds, self.gap * MIN_SLACK_FRACTION)
        return max(1, int(slack * STALL_FRACTION / stall_seconds))

    @property
    def read_spacing(self) -> float:
        """Return the delay that keeps two readings out of the same step."""
        # The step time of an idle group is overestimated.
        return min(self.step_seconds, self.gap)

    def needs_balancing(self, now: float) -> bool:
        """Return whether steps were long under load recently."""
        if now < self._backoff_until:
            return False
        return now - self._loaded_at < WATCH_SECONDS

    def record_switch(
        self,
        version: int,
        placement: ranks.GroupMap,
        step: int,
        now: float,
    ) -> None:
        """Record that the group was released with a new map at a step."""
        self.version = version
        self.placement = placement
        self.record_release(step, now)

    def record_release(self, step: int, now: float) -> None:
        """Record that the group was released at a step."""
        self._released_step = step
        self._released_at = now

    def is_stale_hold(self, step: int, now: float) -> bool:
        """Return whether a report of a hold predates its release.

        Holding a released group again would stall it.  A late hold order may
        still take effect, so a report that persists is not stale.
        """
        is_same = step == self._released_step
        return is_same and now - self._released_at < STALE_REPORT_SECONDS

    def back_off(self, now: float) -> None:
        """Back off after a switch that had to be rolled back."""
        self.copy_slack = min(MAX_COPY_SLACK, 2 * self.copy_slack)
        self._backoff_until = now + BACKOFF_SECONDS

    def estimate_step(self, moment: float) -> int:
        """Estimate the step that the group will have begun by ``moment``."""
        elapsed = moment - self._step_at + REPORT_LAG_SECONDS
        return self._step + int(elapsed / self.step_seconds)

    def next_version(self, floor: int) -> int:
        """Issue a version above ``floor`` that no rank has had.

        Versions are unique across terms: ranks that had prepared another map
        under the same version would be armed for it.
        """
        self.max_version = max(self.max_version, floor) + 1
        return self.max_version

    def _update_load(self, calls: float, now: float) -> None:
        """Note whether calls are delayed or the initial map is in force."""
        # A group that never had a map planned is the least balanced one; its
        # first map is planned as soon as there are calls, before they are late.
        is_slow = self.step_seconds >= LONG_STEP_SECONDS or self.is_full
        # Long copies are started before the steps become long.
        is_slow |= self.has_long_copies
        if calls >= MIN_CALLS and (is_slow or self.version <= 0):
            self._loaded_at = now

    def _time_step(self, epoch: int, step: int, now: float) -> None:
        """Estimate the step time from two reports of the first rank.

        Ranks report at different moments, so reports of two ranks, or reports
        close in time, would yield far too short steps, and a switch would be
        scheduled far too late.
        """
        steps = step - self._step
        elapsed = now - self._step_at
        if self._step_epoch == epoch:
            is_too_close = (
                steps < MIN_TIMED_STEPS or elapsed < REPORT_LAG_SECONDS
            )
            if steps <= 0 or (is_too_close and elapsed < MAX_TIMING_SECONDS):
                return
            self.step_seconds = max(self.min_step, elapsed / steps)
        self._step_epoch = epoch
        self._step = step
        self._step_at = now


def _calls_of(report: ranks.RankReport) -> int:
    return report.running + report.waiting
