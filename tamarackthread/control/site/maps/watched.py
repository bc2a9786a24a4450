"""Keep what the owner of a group knows of it between its looks."""

from __future__ import annotations

import attrs

from tamarackthread.control.site.maps import demand, ranks, switching
from tamarackthread.policy import group_planning
from tamarackthread.shared.site import configuration

# A step that is shorter than this delays nobody, however uneven its ranks are:
# with what a prompt that is read in it adds, it is within the callers' pause.
LONG_STEP_SECONDS = 0.075
# Steps are timed over so many of them, or so long: one that reads a long prompt
# is no sign of uneven ranks.
TIMED_STEPS = 4
TIMED_SECONDS = 0.5
# A group stays under watch for so long after its last long step.  An even map
# makes steps short; that a shift of demand, which comes every two to four
# seconds, has made them long again would be seen a look too late.
WATCH_SECONDS = 4.0
# With so many of their places taken, some ranks of a group are full, and a call
# waits there for as long as another one lasts.  Evener ranks make that shorter
# however short a step is: the group serves more calls in the same time.
FULL_SHARE = 0.7
# Calls a rank that keep a group busy enough for a switch to pay.
LEAST_RUNNING = 0.8
# What reading a group may add to one of its steps, as a part of what is left
# between a step and the pause that callers take.  The rest of that time is for
# what no plan knows: a long prompt that is read in the step, copies, the way of
# an event to its caller.
REST_SHARE = 0.25
# Of the pause itself, so much is taken to be left at least.
LEAST_LEFT_SHARE = 0.2
# Copies share their link with others of the rank.
COPY_SLACK = 1.15
# After a switch that had to be taken back, the group is left alone for so long
# and then given twice the time to copy: each such switch holds all its callers
# for most of a second.  Nothing else is looked at while a group copies, so the
# time is bounded.
REST_SECONDS = 5.0
MOST_COPY_SLACK = 4 * COPY_SLACK
# Where copies of one expert in each set take longer than this, a map is planned by
# what they cost in time: it is a tenth of how long demand mostly stays as it is.
LONG_COPIES_SECONDS = 0.25
# From a plan to the step of its switch, without the copies.
SWITCH_SECONDS = 0.3
# A report tells of some hundred milliseconds ago.
REPORT_SECONDS = 0.2
LATE_REPORT_SECONDS = 1.0
# Before a step was timed, a group is taken for pressed: a new owner would else
# need one look more until it can plan.
ASSUMED_STEP_SECONDS = LONG_STEP_SECONDS


@attrs.define(eq=False)
class Watched:
    """A group as its reports, its counts and this owner's orders tell.

    ``placement`` is the map of ``version`` in ``epoch``.  ``highest`` is the
    highest version that this owner gave out, whether or not it came into
    force.  ``group`` is ``None`` while not all ranks report alike, and ``held`` is
    the group as it was found held and not yet let go, if so.  ``gap`` is
    the pause in seconds that callers take without harm, 0 without a bound,
    ``least_step`` what a step takes without calls, 0 where nobody says so, and
    ``calls`` how many a rank had at the last look, running or waiting.
    """

    shape: configuration.Experts
    service: str = ''
    gap: float = 0
    least_step: float = 0
    group: switching.Group | None = None
    held: switching.Group | None = None
    epoch: int = -1
    version: int = -1
    placement: ranks.GroupMap = ()
    highest: int = 0
    demand: demand.Demand = attrs.field(factory=demand.Demand)
    step_seconds: float = ASSUMED_STEP_SECONDS
    copy_slack: float = COPY_SLACK
    read_at: float = 0
    calls: float = 0
    _rests_until: float = 0
    _let_go: int = -1
    _let_go_at: float = 0
    _step_epoch: int = -1
    _step: int = 0
    _step_at: float = 0
    _pressed_at: float = -WATCH_SECONDS

    def see(self, group: switching.Group, now: float) -> None:
        """Take a look's reports."""
        self.group = group
        self.highest = max(self.highest, group.newest_version)
        reports = group.busy_reports
        self._time_step(group.epoch, reports[0].step, now)
        self.calls = sum(map(_calls_of, reports)) / len(reports)
        self._note_pressure(self.calls, now)

    def hear(self, report: ranks.RankReport, now: float) -> None:
        """Take one rank's report, which times the steps of all."""
        self._time_step(report.epoch, report.step, now)
        calls = _calls_of(report)
        if self.has_long_copies:
            # One rank of a group with few calls often has none.
            calls = max(calls, self.calls)
        self._note_pressure(calls, now)

    @property
    def is_full(self) -> bool:
        """Tell whether calls have to wait for a place at a rank."""
        places = self.shape.slots
        return bool(places) and self.calls >= FULL_SHARE * places

    @property
    def has_long_copies(self) -> bool:
        """Tell whether a map's copies take a good part of its demand's time."""
        seconds = self.shape.sets * self.shape.copy_seconds
        return seconds > LONG_COPIES_SECONDS

    @property
    def awaits_demand(self) -> bool:
        """Tell whether a map waits for a reading of the new demand alone."""
        return self.has_long_copies and self.demand.is_mixed

    def cost(self, now: float) -> group_planning.MapCost:
        """Say what a map that is planned now costs in time."""
        return group_planning.MapCost(
            copy_seconds=self.shape.copy_seconds * self.copy_slack,
            switch_seconds=SWITCH_SECONDS,
            stable_seconds=self.demand.lasts(now),
        )

    def readable(self, rest_seconds: float) -> int | None:
        """Return how many ranks may be read at once, ``None`` for all.

        ``rest_seconds`` is how long all ranks rest for each.  The failure:
        eleven ranks of a large group that are read at once rest it for 57 ms
        in one go; on top of a step of 100 ms that is more than callers bear,
        and every stream of the group is late by that one pause.  Where steps
        take nearly all of the pause some is read all the same: it is the way to
        an evener map, without which they stay so.
        """
        if not self.gap or not rest_seconds:
            return None
        left = max(self.gap - self.step_seconds, self.gap * LEAST_LEFT_SHARE)
        return max(1, int(left * REST_SHARE / rest_seconds))

    @property
    def between_reads(self) -> float:
        """Return how long to wait so that two readings meet no one step.

        Steps of a group that has been idle seem to take as long as that was.
        """
        return min(self.step_seconds, self.gap)

    def is_pressed(self, now: float) -> bool:
        """Tell whether evener ranks would be felt by anybody.

        Reading counts rests the group and is charged for, so it is left
        where steps are short or hardly anybody waits for them.
        """
        if now < self._rests_until:
            return False
        return now - self._pressed_at < WATCH_SECONDS

    def switched(
        self,
        version: int,
        placement: ranks.GroupMap,
        step: int,
        now: float,
    ) -> None:
        """Take it that the group was let go into a new map at a step."""
        self.version = version
        self.placement = placement
        self.let_go(step, now)

    def let_go(self, step: int, now: float) -> None:
        """Take it that the group was let go at a step at which it was held."""
        self._let_go = step
        self._let_go_at = now

    def has_let_go(self, step: int, now: float) -> bool:
        """Tell whether a report that a group is held is only a late one.

        Holding the group once more, to bring a switch to its end that has
        ended, would keep all its callers waiting for half a second.  A late
        copy of the hold may come true after the go, so the report counts when
        it lasts.
        """
        is_same = step == self._let_go
        return is_same and now - self._let_go_at < LATE_REPORT_SECONDS

    def failed(self, now: float) -> None:
        """Take it that a switch had to be taken back."""
        self.copy_slack = min(MOST_COPY_SLACK, 2 * self.copy_slack)
        self._rests_until = now + REST_SECONDS

    def step_at(self, moment: float) -> int:
        """Estimate the step that the group has begun by a moment."""
        since = moment - self._step_at + REPORT_SECONDS
        return self._step + int(since / self.step_seconds)

    def next_version(self, least: int) -> int:
        """Give out a version above ``least`` that no rank has had.

        Owners of different terms never give out the same one.  A new owner's
        reports lag, and a version that its predecessor has prepared since,
        with another map, would pass for its own: ranks that are armed for it
        would be armed anew, for another step than those that are not reached.
        """
        self.highest = max(self.highest, least) + 1
        return self.highest

    def _note_pressure(self, calls: float, now: float) -> None:
        """Take how many calls a rank has.

        A group that has never had a map made for it is the most uneven one,
        and its first map serves in part after each shift: it is made as soon
        as there are calls to make it from, before they are late.
        """
        is_slow = self.step_seconds >= LONG_STEP_SECONDS or self.is_full
        # A map that takes long to copy is begun before steps are felt to be long.
        is_slow |= self.has_long_copies
        if calls >= LEAST_RUNNING and (is_slow or self.version <= 0):
            self._pressed_at = now

    def _time_step(self, epoch: int, step: int, now: float) -> None:
        """Time steps by two reports of the first rank.

        The failure: reports are made anew each fifth of a second, and those of
        other ranks at other moments.  Two that were asked for within a hundredth
        may lie four steps apart; by that a step took 3 ms, a switch half a second
        ahead was set 160 steps ahead, and for six seconds the ranks, armed for
        it, refused every map.  Reports that lie apart by what they lag, and no
        step below the least, keep a switch within a few steps of its moment.
        """
        steps = step - self._step
        since = now - self._step_at
        if self._step_epoch == epoch:
            is_soon = steps < TIMED_STEPS or since < REPORT_SECONDS
            if steps <= 0 or (is_soon and since < TIMED_SECONDS):
                return
            self.step_seconds = max(self.least_step, since / steps)
        self._step_epoch = epoch
        self._step = step
        self._step_at = now


def _calls_of(report: ranks.RankReport) -> int:
    return report.running + report.waiting
