"""Find which calls were late, refused or failed, and what they waited for.

Each such call waited for something during a stretch of time that its line
tells.  What went on in that stretch is in the lines of control and of the
entry itself; the first cause in the order of ``_CAUSES`` that overlaps counts,
so that a group without an owner is not told as one that was uneven.
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
# An entry that has started knows its targets after a beat or two.
START_SECONDS = 2.0
# A group that was found held goes on after the lag of reports and its orders.
RELEASE_SECONDS = 0.5
# Silence of a leader that its peers wait for before one of them stands.
ELECTION_SECONDS = 1.2
# A new owner reads, plans and switches in so long.
TAKEOVER_SECONDS = 0.7
# Demand has shifted so long before the plan that answers it, and copies and
# the step of the switch follow it.
SHIFT_SECONDS = 1.0
SWITCH_SECONDS = 0.5
# A switch that took longer than this until all ranks were armed was waited for.
HELD_MS = 60
MILLISECONDS = 1000


class Kind(enum.StrEnum):
    """Name how a call was lost."""

    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'
    BROKEN = 'broken'


class Cause(enum.StrEnum):
    """Name what a lost call waited for, or why it had no answer."""

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


_KINDS = types.MappingProxyType(
    {
        _Event.CALL_ANSWERED.value: Kind.LATE,
        _Event.CALL_REFUSED.value: Kind.REFUSED,
        _Event.CALL_FAILED.value: Kind.FAILED,
        _Event.CALL_BROKEN.value: Kind.BROKEN,
    }
)
# What the codes of the request path mean here; docs/ERRORS.md has them all.
_BY_CODE = types.MappingProxyType(
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
# What only the owner of the maps does.
_OWNERS_WORK = frozenset((_Event.PLAN.value, _Event.MAP.value))
# What a report can be summed by.
DIMENSIONS = tuple(
    'cause kind second service route organisation node target'.split()
)


@attrs.frozen(kw_only=True)
class Loss:
    """One lost call: from when until when it waited for its cause."""

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
        """Return the second in which it waited longest for its cause."""
        return int(self.ended)


@attrs.frozen
class Row:
    """How many calls were lost to something, and for how many seconds."""

    name: str
    calls: int
    seconds: float


@attrs.frozen
class Report:
    """The losses of a day; times count from its first line."""

    losses: tuple[Loss, ...]
    unreadable: tuple[log_lines.Location, ...]

    @property
    def unattributed_share(self) -> float:
        """Return the part of the losses whose cause was not found."""
        unknown = sum(loss.cause is Cause.UNKNOWN for loss in self.losses)
        return unknown / len(self.losses) if self.losses else 0

    def by(self, dimension: str) -> list[Row]:
        """Sum the losses by one of their fields, the largest first."""
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
class _Span:
    """A stretch in which something went on; everywhere without a node."""

    cause: Cause
    began: float
    ended: float
    node: str = ''

    def covers(self, began: float, ended: float, node: str) -> bool:
        """Tell whether a wait at a node overlaps this."""
        if self.node not in {'', node}:
            return False
        return self.began < ended and began < self.ended


# The earlier one counts where several went on at once.
_CAUSES = (
    Cause.STARTING,
    Cause.NO_OWNER,
    Cause.HELD,
    Cause.UNEVEN,
    Cause.LONG_STEPS,
)


def report(parsed: log_lines.ParsedLogs) -> Report:
    """Attribute each lost call of a day's lines."""
    if not parsed.lines:
        return Report((), parsed.unreadable)
    zero = parsed.lines[0].seconds
    spans = _spans(parsed.lines, zero)
    tried = frozenset(
        line.request_id
        for line in parsed.lines
        if line.event == _Event.TRY_FAILED
    )
    found = []
    for line in parsed.lines:
        kind = _KINDS.get(line.event)
        if kind is None or not _is_lost(kind, line):
            continue
        found.append(_loss(kind, line, zero, spans, tried))
    return Report(tuple(found), parsed.unreadable)


def _is_lost(kind: Kind, line: log_lines.Line) -> bool:
    if kind is Kind.LATE:
        return bool(line.fields.get('is_late'))
    # A call that no configuration allows is owed nothing.
    return _BY_CODE.get(str(line.fields.get('code'))) is not Cause.CALLER


def _loss(
    kind: Kind,
    line: log_lines.Line,
    zero: float,
    spans: list[_Span],
    tried: frozenset[str],
) -> Loss:
    began, ended = _wait(kind, line, zero)
    return Loss(
        kind=kind,
        cause=_cause(line, spans, tried, began, ended),
        began=began,
        ended=ended,
        node=line.node,
        service=str(line.fields.get('service', '')),
        route=str(line.fields.get('route', '')),
        organisation=str(line.fields.get('organisation', '')),
        target=str(line.fields.get('target', '')),
    )


def _wait(
    kind: Kind,
    line: log_lines.Line,
    zero: float,
) -> tuple[float, float]:
    """Return from when until when a call waited for what made it late."""
    ended = line.seconds - zero
    arrived = ended - line.number('took_ms') / MILLISECONDS
    if kind is not Kind.LATE or not line.fields.get('first_ms'):
        return arrived, ended
    first = line.number('first_ms') / MILLISECONDS
    pause = line.number('pause_ms') / MILLISECONDS
    if first >= pause:
        return arrived, arrived + first
    paused_until = ended - line.number('since_pause_ms') / MILLISECONDS
    return paused_until - pause, paused_until


def _cause(
    line: log_lines.Line,
    spans: list[_Span],
    tried: frozenset[str],
    began: float,
    ended: float,
) -> Cause:
    code = str(line.fields.get('code', ''))
    by_code = _BY_CODE.get(code)
    if by_code is not None and by_code is not Cause.DEADLINE:
        return by_code
    for cause in _CAUSES:
        for span in spans:
            if span.cause is cause and span.covers(began, ended, line.node):
                return cause
    if by_code is not None:
        return by_code
    if line.request_id in tried:
        return Cause.TARGET
    return Cause.UNKNOWN


def _spans(
    lines: collections.abc.Iterable[log_lines.Line],
    zero: float,
) -> list[_Span]:
    found: list[_Span] = []
    owners = _Owners()
    for line in lines:
        now = line.seconds - zero
        found.extend(owners.take(line, now))
        found.extend(_span_of(line, now))
    found.extend(owners.end())
    return found


class _Owners:
    """Follow who leads, and for how long nobody does."""

    def __init__(self) -> None:
        self._leader = ''
        self._lost_at: float | None = None

    def take(
        self,
        line: log_lines.Line,
        now: float,
    ) -> collections.abc.Iterator[_Span]:
        """Take a line; give the stretch without a leader that it ends."""
        if line.event == _Event.LEADER:
            if self._leader:
                # One that was suspended or cut off is not seen to go.
                began = self._lost_at or now - ELECTION_SECONDS
                yield _Span(Cause.NO_OWNER, began, now + TAKEOVER_SECONDS)
            self._leader = _host(line.node)
            self._lost_at = None
        elif _loses(line, self._leader):
            self._lost_at = self._lost_at or now
        elif _shows(line, self._leader):
            # One entry had lost its link; the leader has worked on.
            self._lost_at = None

    def end(self) -> collections.abc.Iterator[_Span]:
        """Give the stretch that no leader has ended."""
        if self._lost_at is not None:
            yield _Span(Cause.NO_OWNER, self._lost_at, math.inf)


def _loses(line: log_lines.Line, leader: str) -> bool:
    """Tell whether a line tells that the leader's process is gone."""
    if not leader:
        return False
    if line.event == _Event.DEPENDENCY and not line.fields.get('is_up'):
        return _host(str(line.fields.get('address', ''))) == leader
    is_restart = line.event == _Event.STARTED and 'control' in line.node
    return is_restart and _host(line.node) == leader


def _shows(line: log_lines.Line, leader: str) -> bool:
    """Tell whether a line shows that the leader works."""
    if line.event == _Event.DEPENDENCY:
        return _host(str(line.fields.get('address', ''))) == leader
    return line.event in _OWNERS_WORK and _host(line.node) == leader


def _span_of(
    line: log_lines.Line,
    now: float,
) -> collections.abc.Iterator[_Span]:
    if line.event == _Event.STARTED:
        yield _Span(Cause.STARTING, now - 1, now + START_SECONDS, line.node)
    if line.event == _Event.HELD:
        yield _Span(Cause.HELD, now - RELEASE_SECONDS, now + RELEASE_SECONDS)
    if line.event == _Event.PLAN:
        yield _Span(Cause.UNEVEN, now - SHIFT_SECONDS, now + SWITCH_SECONDS)
    if line.event != _Event.MAP:
        return
    held = line.number('arm_ms')
    if held > HELD_MS:
        yield _Span(Cause.HELD, now - held / MILLISECONDS, now)
    yield _Span(Cause.LONG_STEPS, now - SHIFT_SECONDS, now + SHIFT_SECONDS)


def _host(node: str) -> str:
    """Return the host of a node's name or of an address."""
    return node.partition('/')[0].partition(':')[0]
