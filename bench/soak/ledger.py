"""Note what callers, targets and operators saw, and check the promises."""

from __future__ import annotations

import bisect
import collections
import enum

import attrs

# Statuses that say that a call did not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
OK = 200
EVENTS = 5
# A configuration is in force everywhere so long after it was accepted.
APPLY_SECONDS = 2.0
# Targets of an evacuated zone get nothing so long after it was acknowledged.
EVACUATION_SECONDS = 5.0
# The code of the refusal of a call that crashes targets.
CRASHES_CODE = 'TT7213'
# Calls of one second that a cold target takes from all entries.
COLD_RATE = 20
# Repeats of a span that calls earn, and those that are allowed besides.
BUDGET_SECONDS = 10.0
BUDGET_SHARE = 0.2
BUDGET_SLACK = 124


class Kind(enum.Enum):
    """Say what of a call may be repeated."""

    ONCE = 'once'
    REPEATABLE = 'repeatable'
    STREAM = 'stream'


@attrs.frozen
class CrashBound:
    """How many crashes one cause may have, and how many more when known."""

    promise: str
    crashes: int
    known_seconds: float
    more: int = 3


# Memory of the smallest host.
MACHINE_BYTES = 200 << 20
CALL_BOUND = CrashBound('crashing_call_let_through', 3, 4.0)
# For calls that share a part of their prompts, each new.
PART_BOUND = CrashBound('crashing_part_let_through', 5, 3.0)


@attrs.frozen
class Violation:
    """One broken promise."""

    promise: str
    about: str


@attrs.define
class Attempt:
    """One try of a caller; ``status`` is 0 without a whole answer."""

    identity: str
    kind: Kind
    entry: str
    status: int = 0
    body: str = ''
    was_cut: bool = False
    # Whether the call crashes the target that runs it.
    is_crashing: bool = False


def whole_body(identity: str, kind: Kind) -> str:
    """Return the only right body of an answer to a call."""
    if kind is Kind.STREAM:
        return ''.join(
            f'id: {number}\ndata: {identity}\n\n'
            for number in range(1, EVENTS + 1)
        )
    return f'answer to {identity}'


class Ledger:
    """Collect what was seen; ``violations`` judges all of it."""

    def __init__(self) -> None:
        """Begin empty."""
        self.attempts: dict[str, Attempt] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.broken_off: set[str] = set()
        self._accepted: list[tuple[float, int]] = []
        self._evacuated: dict[str, float] = {}
        self._cold: dict[str, collections.deque[float]] = {}
        self._asked_at: list[float] = []
        self._arrivals: collections.Counter[str] = collections.Counter()
        self._repeated_at: list[float] = []
        self._crashes: dict[tuple[CrashBound, str], list[float]] = (
            collections.defaultdict(list)
        )
        self._found: list[Violation] = []

    def asked(self, attempt: Attempt, now: float = 0) -> None:
        """Note a try before it is sent."""
        self.attempts[attempt.identity] = attempt
        self._asked_at.append(now)

    def arrived(self, identity: str, now: float) -> None:
        """Note that a call has arrived at a target, which may refuse it."""
        self._arrivals[identity] += 1
        if self._arrivals[identity] > 1:
            self._repeated_at.append(now)

    def ran(self, identity: str) -> None:
        """Note that a target began to work on a call."""
        self.runs[identity] += 1

    def broke_off(self, identity: str) -> None:
        """Note that a target has cut its answer to a call."""
        self.broken_off.add(identity)

    def evacuated(self, zone: str, now: float) -> None:
        """Note that an operator was told that a zone is evacuated."""
        self._evacuated[zone] = now

    def restored(self, zone: str) -> None:
        """Note that an operator is about to take a zone back."""
        self._evacuated.pop(zone, None)

    def reached(self, zone: str, identity: str, now: float) -> None:
        """Judge a call that has reached a target of a zone."""
        since = self._evacuated.get(zone)
        if since is not None and now - since > EVACUATION_SECONDS:
            self._add('reached_evacuated_zone', f'{identity} in {zone}')

    def reached_cold(self, target: str, now: float) -> None:
        """Judge a call that has reached a cold target."""
        moments = self._cold.setdefault(target, collections.deque())
        moments.append(now)
        while now - moments[0] >= 1:
            moments.popleft()
        if len(moments) > COLD_RATE:
            self._add('cold_target_overrun', f'{len(moments)} at {target}')

    def crashed(self, call: str, now: float) -> None:
        """Judge a call that has crashed the target that ran it."""
        self._crashes[CALL_BOUND, call].append(now)
        self._judge_crashes(CALL_BOUND, call)

    def crashed_by_part(self, part: str, now: float) -> None:
        """Judge a call that has crashed its target by a part of its prompt."""
        self._crashes[PART_BOUND, part].append(now)
        self._judge_crashes(PART_BOUND, part)

    def accepted(self, version: int, now: float) -> None:
        """Note that an operator was told that a version is accepted."""
        self._accepted.append((now, version))

    def read_back(self, version: int, asked_at: float) -> None:
        """Judge an answer to a read of the configuration."""
        due = [
            held for at, held in self._accepted if at + APPLY_SECONDS < asked_at
        ]
        if due and version < max(due):
            self._add('configuration_reverted', f'{version} after {max(due)}')

    def cut_by_planned_stop(self, attempt: Attempt) -> None:
        """Note a call that a planned stop has cut off."""
        self._add('cut_by_planned_stop', attempt.identity)

    def most_repeats(self) -> int:
        """Return the most repeats in any span over which they are counted."""
        return max(
            (
                _count(self._repeated_at, now - BUDGET_SECONDS, now)
                for now in self._repeated_at
            ),
            default=0,
        )

    def crashes(self) -> dict[str, int]:
        """Count the targets that calls and parts of prompts have crashed."""
        found = {'by_call': 0, 'by_part': 0}
        for (bound, _), moments in self._crashes.items():
            name = 'by_part' if bound is PART_BOUND else 'by_call'
            found[name] += len(moments)
        return found

    def held_at_most(self, host: str, peak_bytes: int) -> None:
        """Note the peak memory of a process, 0 if it has ended by itself."""
        if not peak_bytes:
            self._add('process_ended', host)
        if peak_bytes > MACHINE_BYTES:
            self._add('memory_exceeded', f'{host} had {peak_bytes} bytes')

    def violations(self) -> list[Violation]:
        """Judge all that was seen."""
        found = list(self._found)
        for identity in self.runs:
            if identity not in self.attempts:
                found.append(Violation('ran_unasked', identity))
        for attempt in self.attempts.values():
            found.extend(self._judge(attempt))
        return found + self._judge_repeats()

    def _judge_repeats(self) -> list[Violation]:
        """Find the worst span with more repeats of all entries than allowed."""
        worst: float = 0
        about = ''
        for now in self._repeated_at:
            repeats = _count(self._repeated_at, now - BUDGET_SECONDS, now)
            earlier = (0, BUDGET_SECONDS / 2, BUDGET_SECONDS)
            calls = max(
                _count(self._asked_at, now - BUDGET_SECONDS - back, now - back)
                for back in earlier
            )
            allowed = BUDGET_SHARE * calls + BUDGET_SLACK
            if repeats - allowed > worst:
                worst = repeats - allowed
                about = f'{repeats} repeats, {allowed:.0f} allowed'
        return [Violation('repeats_over_budget', about)] if about else []

    def _judge_crashes(self, bound: CrashBound, cause: str) -> None:
        """Find crashes that came long after the cause had to be known."""
        moments = self._crashes[bound, cause]
        if len(moments) <= bound.crashes:
            return
        known_at = moments[bound.crashes - 1] + bound.known_seconds
        late = sum(moment > known_at for moment in moments)
        if late > bound.more:
            self._add(bound.promise, f'{late} times, {cause}')

    def _judge(self, attempt: Attempt) -> list[Violation]:
        found = []
        runs = self.runs[attempt.identity]
        if attempt.kind is Kind.ONCE and runs > 1:
            found.append(Violation('ran_twice', attempt.identity))
        if attempt.kind is Kind.ONCE and attempt.status in NOT_RUN and runs:
            found.append(Violation('false_not_run', attempt.identity))
        if CRASHES_CODE in attempt.body and not attempt.is_crashing:
            found.append(Violation('sound_call_blamed', attempt.identity))
        right = whole_body(attempt.identity, attempt.kind)
        if attempt.status == OK and attempt.body != right:
            found.append(Violation('wrong_answer', attempt.identity))
        return found

    def _add(self, promise: str, about: str) -> None:
        self._found.append(Violation(promise, about))


def _count(moments: list[float], after: float, until: float) -> int:
    """Count the moments of a span, in order of time."""
    first = bisect.bisect_right(moments, after)
    return bisect.bisect_right(moments, until) - first
