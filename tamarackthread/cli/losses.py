"""Attribute late, refused and failed calls to causes: by the error code, else to
the first of ``_CAUSES`` in the logs that overlaps the time the call waited.
"""

from __future__ import annotations

import collections
import collections.abc
import enum
import math
import types

import attrs

from tamarackthread.cli import log_lines
from tamarackthread.shared import log_events

_Event = log_events.Event
# Time until a started entry knows its targets.
STARTUP_SECONDS = 2.0
# Delay of the reports and orders that release a held group.
HOLD_MARGIN_SECONDS = 0.5
# Time without heartbeats before the leader's peers start an election.
ELECTION_TIMEOUT_SECONDS = 1.2
# Time until a new owner of the maps (the control host that plans them) has made
# and applied a plan.
TAKEOVER_SECONDS = 0.7
# Time from a shift of demand to its plan, and from the plan to the end of
# its switch of maps.
DEMAND_SHIFT_SECONDS = 1.0
MAP_SWITCH_SECONDS = 0.5
# A switch of maps that arms its ranks more slowly than this delays calls.
SLOW_ARM_MS = 60
MILLISECONDS = 1000


class Kind(enum.StrEnum):
    """The way in which a call was lost."""

    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'
    BROKEN = 'broken'


class Cause(enum.StrEnum):
    """The cause for which a call was late or had no reply."""

    NO_CONFIGURATION = 'no configuration or target known yet'
    STARTING = 'its entry had just started'
    DEADLINE = 'deadline passed at a target'
    TARGET = 'a target refused, broke off or could not be reached'
    CALLER = 'the call itself was refused'
    NO_OWNER = 'no owner of the maps'
    HELD = 'its group was held'
    UNEVEN = 'an even map was awaited'
    LONG_STEPS = 'steps were long'
    UNKNOWN = 'not attributed'


_KIND_BY_EVENT = types.MappingProxyType(
    {
        _Event.CALL_ANSWERED.value: Kind.LATE,
        _Event.CALL_REFUSED.value: Kind.REFUSED,
        _Event.CALL_FAILED.value: Kind.FAILED,
        _Event.CALL_BROKEN.value: Kind.BROKEN,
    }
)
# Error codes that imply a cause.  Calls with any other code are attributed by the
# time they waited, and so are passed deadlines if that finds a cause.
_CAUSE_BY_CODE = types.MappingProxyType(
    {
        'TT7201': Cause.NO_CONFIGURATION,
        'TT7202': Cause.CALLER,
        'TT7203': Cause.CALLER,
        'TT7204': Cause.CALLER,
        'TT7205': Cause.NO_CONFIGURATION,
        'TT7206': Cause.TARGET,
        'TT7207': Cause.DEADLINE,
        'TT7208': Cause.DEADLINE,
        'TT7209': Cause.TARGET,
    }
)
# Events that only the owner of the maps logs.
_OWNER_EVENTS = frozenset((_Event.PLAN.value, _Event.MAP.value))
# Fields by which a report can be grouped.
DIMENSIONS = tuple(
    'cause kind second service route organisation node target'.split()
)


@attrs.frozen(kw_only=True)
class Loss:
    """One lost call, with the start and end of its wait in seconds."""

    kind: Kind
    cause: Cause
    began: float
    ended: float
    node: str
    service: str
    route: str
    organisation: str
    target: str

    @property
    def second(self) -> int:
        """Return the second in which the wait ended."""
        return int(self.ended)


@attrs.frozen
class Row:
    """The count and total wait in seconds of a group of lost calls."""

    name: str
    calls: int
    seconds: float


@attrs.frozen
class Report:
    """All lost calls; times are in seconds since the first log line."""

    losses: tuple[Loss, ...]
    unreadable: tuple[log_lines.Location, ...]

    @property
    def unattributed_share(self) -> float:
        """Return the share of lost calls without a known cause."""
        unknown = sum(loss.cause is Cause.UNKNOWN for loss in self.losses)
        return unknown / len(self.losses) if self.losses else 0

    def by(self, dimension: str) -> list[Row]:
        """Group the lost calls by a field, the largest group first."""
        calls: collections.Counter[str] = collections.Counter()
        seconds: collections.Counter[str] = collections.Counter()
        for loss in self.losses:
            name = str(getattr(loss, dimension)) or '-'
            calls[name] += 1
            seconds[name] += loss.ended - loss.began
        return [
            Row(name, count, round(seconds[name], 1))
            for name, count in calls.most_common()
        ]


@attrs.frozen
class _Interval:
    """The time in which a cause was active, on all nodes if none is named."""

    cause: Cause
    began: float
    ended: float
    node: str = ''

    def covers(self, began: float, ended: float, node: str) -> bool:
        """Tell whether a wait at a node overlaps this interval."""
        if self.node not in {'', node}:
            return False
        return self.began < ended and began < self.ended


# In order of precedence, for causes that overlap.
_CAUSES = (
    Cause.STARTING,
    Cause.NO_OWNER,
    Cause.HELD,
    Cause.UNEVEN,
    Cause.LONG_STEPS,
)


def report(parsed: log_lines.ParsedLogs) -> Report:
    """Attribute each lost call to a cause."""
    if not parsed.lines:
        return Report((), parsed.unreadable)
    start = parsed.lines[0].seconds
    intervals = _find_intervals(parsed.lines, start)
    failed_attempts = frozenset(
        line.request_id
        for line in parsed.lines
        if line.event == _Event.TRY_FAILED
    )
    losses = []
    for line in parsed.lines:
        kind = _KIND_BY_EVENT.get(line.event)
        if kind is None or not _is_lost(kind, line):
            continue
        losses.append(
            _build_loss(kind, line, start, intervals, failed_attempts)
        )
    return Report(tuple(losses), parsed.unreadable)


def _is_lost(kind: Kind, line: log_lines.Line) -> bool:
    if kind is Kind.LATE:
        return bool(line.fields.get('is_late'))
    # A call that the configuration rejects is not lost.
    return _CAUSE_BY_CODE.get(str(line.fields.get('code'))) is not Cause.CALLER


def _build_loss(
    kind: Kind,
    line: log_lines.Line,
    start: float,
    intervals: list[_Interval],
    failed_attempts: frozenset[str],
) -> Loss:
    began, ended = _wait_interval(kind, line, start)
    return Loss(
        kind=kind,
        cause=_find_cause(line, intervals, failed_attempts, began, ended),
        began=began,
        ended=ended,
        node=line.node,
        service=str(line.fields.get('service', '')),
        route=str(line.fields.get('route', '')),
        organisation=str(line.fields.get('organisation', '')),
        target=str(line.fields.get('target', '')),
    )


def _wait_interval(
    kind: Kind,
    line: log_lines.Line,
    start: float,
) -> tuple[float, float]:
    """Return the start and end of the wait that made a call late."""
    ended = line.seconds - start
    arrived = ended - line.number('took_ms') / MILLISECONDS
    if kind is not Kind.LATE or not line.fields.get('first_ms'):
        return arrived, ended
    first = line.number('first_ms') / MILLISECONDS
    pause = line.number('pause_ms') / MILLISECONDS
    if first >= pause:
        return arrived, arrived + first
    paused_until = ended - line.number('since_pause_ms') / MILLISECONDS
    return paused_until - pause, paused_until


def _find_cause(
    line: log_lines.Line,
    intervals: list[_Interval],
    failed_attempts: frozenset[str],
    began: float,
    ended: float,
) -> Cause:
    code = str(line.fields.get('code', ''))
    by_code = _CAUSE_BY_CODE.get(code)
    if by_code is not None and by_code is not Cause.DEADLINE:
        return by_code
    for cause in _CAUSES:
        for interval in intervals:
            if interval.cause is cause and interval.covers(
                began, ended, line.node
            ):
                return cause
    if by_code is not None:
        return by_code
    if line.request_id in failed_attempts:
        return Cause.TARGET
    return Cause.UNKNOWN


def _find_intervals(
    lines: collections.abc.Iterable[log_lines.Line],
    start: float,
) -> list[_Interval]:
    intervals: list[_Interval] = []
    leader_tracker = _LeaderTracker()
    for line in lines:
        now = line.seconds - start
        intervals.extend(leader_tracker.process(line, now))
        intervals.extend(_intervals_of(line, now))
    intervals.extend(leader_tracker.finish())
    return intervals


class _LeaderTracker:
    """Track the leader and the intervals without one."""

    def __init__(self) -> None:
        self._leader = ''
        self._lost_at: float | None = None

    def process(
        self,
        line: log_lines.Line,
        now: float,
    ) -> collections.abc.Iterator[_Interval]:
        """Process a line; yield the interval without a leader that it ends."""
        if line.event == _Event.LEADER:
            if self._leader:
                # No line shows the loss of a suspended or partitioned leader.
                began = self._lost_at or now - ELECTION_TIMEOUT_SECONDS
                yield _Interval(Cause.NO_OWNER, began, now + TAKEOVER_SECONDS)
            self._leader = _host_of(line.node)
            self._lost_at = None
        elif _shows_loss(line, self._leader):
            self._lost_at = self._lost_at or now
        elif _shows_activity(line, self._leader):
            # Only one entry had lost its link; the leader kept working.
            self._lost_at = None

    def finish(self) -> collections.abc.Iterator[_Interval]:
        """Yield the interval that no new leader has ended."""
        if self._lost_at is not None:
            yield _Interval(Cause.NO_OWNER, self._lost_at, math.inf)


def _shows_loss(line: log_lines.Line, leader: str) -> bool:
    """Tell whether a line shows the loss of the leader."""
    if not leader:
        return False
    if line.event == _Event.DEPENDENCY and not line.fields.get('is_up'):
        return _host_of(str(line.fields.get('address', ''))) == leader
    is_restart = line.event == _Event.STARTED and 'control' in line.node
    return is_restart and _host_of(line.node) == leader


def _shows_activity(line: log_lines.Line, leader: str) -> bool:
    """Tell whether a line shows that the leader is active."""
    if line.event == _Event.DEPENDENCY:
        return _host_of(str(line.fields.get('address', ''))) == leader
    return line.event in _OWNER_EVENTS and _host_of(line.node) == leader


def _intervals_of(
    line: log_lines.Line,
    now: float,
) -> collections.abc.Iterator[_Interval]:
    if line.event == _Event.STARTED:
        yield _Interval(
            Cause.STARTING, now - 1, now + STARTUP_SECONDS, line.node
        )
    if line.event == _Event.HELD:
        yield _Interval(
            Cause.HELD, now - HOLD_MARGIN_SECONDS, now + HOLD_MARGIN_SECONDS
        )
    if line.event == _Event.PLAN:
        yield _Interval(
            Cause.UNEVEN, now - DEMAND_SHIFT_SECONDS, now + MAP_SWITCH_SECONDS
        )
    if line.event != _Event.MAP:
        return
    arm_ms = line.number('arm_ms')
    if arm_ms > SLOW_ARM_MS:
        yield _Interval(Cause.HELD, now - arm_ms / MILLISECONDS, now)
    # Around a switch, demand does not fit the map, which makes steps long.
    yield _Interval(
        Cause.LONG_STEPS, now - DEMAND_SHIFT_SECONDS, now + DEMAND_SHIFT_SECONDS
    )


def _host_of(node: str) -> str:
    """Return the host in a node's name or an address."""
    return node.partition('/')[0].partition(':')[0]
