"""Check a history of calls: what was asked, started at a target, answered.

All times are in seconds on one host's monotonic clock, which callers, targets
and the fault injector share.
"""

from __future__ import annotations

import collections
import collections.abc
import enum

import attrs

from bench import load

_CUT = frozenset(
    (load.Outcome.BROKEN, load.Outcome.MAY_HAVE_RUN, load.Outcome.UNREACHED),
)


class Kind(enum.Enum):
    """Name the kinds of calls; orders must not repeat."""

    STREAM = 'stream'
    LOOKUP = 'lookup'
    KEYED = 'keyed order'
    KEYLESS = 'keyless order'

    @property
    def is_order(self) -> bool:
        """Tell whether the call must run at most once."""
        return self in {Kind.KEYED, Kind.KEYLESS}


@attrs.frozen
class Try:
    """One request that a caller sent, and what came of it.

    ``call`` names the call over all its tries and ``body`` what a target is
    given; tries of a keyed order share their body, those of other calls have
    one each.  Without an outcome the caller is still waiting.  ``text`` is
    what the caller got and ``whole`` what its whole answer would be.
    """

    call: str
    kind: Kind
    body: str
    asked_at: float
    told_at: float
    outcome: load.Outcome | None
    text: str = ''
    whole: str = ''
    code: str = ''


@attrs.frozen
class Start:
    """One start of a call at a target."""

    body: str
    at: float


@attrs.frozen
class Window:
    """A time in which a process was stopped on purpose or by a fault."""

    begins: float
    ends: float
    planned: bool


@attrs.frozen
class History:
    """All that was recorded in one run."""

    tries: collections.abc.Sequence[Try]
    starts: collections.abc.Sequence[Start]
    windows: collections.abc.Sequence[Window] = ()


class Promise(enum.Enum):
    """Name the promises that a history can break."""

    LOST = 'lost'
    DOUBLED = 'doubled'
    FALSE_NOT_RUN = 'false_not_run'
    WRONG_CALLER = 'wrong_caller'
    CUT_BY_PLANNED_STOP = 'cut_by_planned_stop'
    LOOKED_WHOLE = 'incomplete_looked_whole'


@attrs.frozen
class Violation:
    """One broken promise and the call that it was made to."""

    promise: Promise
    call: str
    text: str


def check(history: History) -> list[Violation]:
    """Find every broken promise; each call counts once for a promise."""
    starts: dict[str, list[Start]] = collections.defaultdict(list)
    for start in history.starts:
        starts[start.body].append(start)
    found: dict[tuple[Promise, str], Violation] = {}
    for violation in _violations(history, starts):
        found.setdefault((violation.promise, violation.call), violation)
    return list(found.values())


def counts(violations: collections.abc.Iterable[Violation]) -> dict[str, int]:
    """Count the violations of each promise, those of none included."""
    counted = {promise.value: 0 for promise in Promise}
    for violation in violations:
        counted[violation.promise.value] += 1
    return counted


def _violations(
    history: History,
    starts: collections.abc.Mapping[str, list[Start]],
) -> collections.abc.Iterator[Violation]:
    for tried in history.tries:
        begun = starts.get(tried.body, [])
        yield from _check_outcome(tried, begun)
        yield from _check_text(tried)
        if _was_cut_by_plan(tried, history.windows):
            yield _violation(Promise.CUT_BY_PLANNED_STOP, tried)
    yield from _check_doubled(history, starts)


def _check_outcome(
    tried: Try,
    begun: list[Start],
) -> collections.abc.Iterator[Violation]:
    if tried.outcome is None:
        yield _violation(Promise.LOST, tried, 'never answered')
    if tried.outcome == load.Outcome.COMPLETE and not begun:
        yield _violation(Promise.LOST, tried, 'complete but never started')
    if tried.outcome != load.Outcome.REFUSED:
        return
    # An order's key may have run under an earlier try; a refusal that comes
    # after that start must not say 'not run' either.
    for start in begun:
        if start.at < tried.told_at:
            yield _violation(Promise.FALSE_NOT_RUN, tried, f'at {start.at}')


def _check_text(tried: Try) -> collections.abc.Iterator[Violation]:
    has_answer = tried.outcome in {load.Outcome.COMPLETE, load.Outcome.BROKEN}
    if not has_answer or tried.text == tried.whole:
        return
    if not tried.whole.startswith(tried.text):
        yield _violation(Promise.WRONG_CALLER, tried, tried.text)
    elif tried.outcome == load.Outcome.COMPLETE:
        yield _violation(Promise.LOOKED_WHOLE, tried, tried.text)


def _was_cut_by_plan(
    tried: Try,
    windows: collections.abc.Sequence[Window],
) -> bool:
    """Blame a planned stop only where no fault could have done it."""
    if tried.outcome not in _CUT:
        return False
    during = [
        window
        for window in windows
        if window.begins <= tried.told_at and tried.asked_at <= window.ends
    ]
    return bool(during) and all(window.planned for window in during)


def _check_doubled(
    history: History,
    starts: collections.abc.Mapping[str, list[Start]],
) -> collections.abc.Iterator[Violation]:
    bodies: dict[str, set[str]] = collections.defaultdict(set)
    for tried in history.tries:
        if tried.kind.is_order:
            bodies[tried.call].add(tried.body)
    for call, given in bodies.items():
        count = sum(len(starts.get(body, ())) for body in given)
        if count > 1:
            yield Violation(Promise.DOUBLED, call, f'{count} starts')


def _violation(promise: Promise, tried: Try, text: str = '') -> Violation:
    return Violation(promise, tried.call, text or str(tried.outcome))
