"""Detect what crashes each target that runs it: a call, or a shared part."""

from __future__ import annotations

import collections
import collections.abc
import enum
import math
import operator

import attrs

from tamarackthread.policy import crash_records

# Crashes after which a call isn't retried and after which it is refused;
# ordinary calls may see one or two by coincidence.
NO_RETRY_LOSSES = 2
REFUSED_LOSSES = 3
# Crashes after which a suspect is refused that an answer has once cleared, or
# that most of the crashes meanwhile can't be blamed on.
DOUBTFUL_REFUSED_LOSSES = 5
# Crashes within this time may share a cause, such as a power failure.  So many
# do unless half of the targets ran the same suspect, and one such moment alone
# refuses nothing.
CORRELATED_LOSS_SECONDS = 0.5
CORRELATED_LOSS_TARGETS = 3
MIN_REFUSED_MOMENTS = 2
# Of suspects with about as many crashes the one that fewest calls share is
# blamed.  One that more calls share must explain this many more.
WIDER_SUSPECT_LOSSES = 2
# Bounds the time that the search takes; the likeliest are found first.
MAX_FINDINGS = 16


class Verdict(enum.Enum):
    """How to handle a call: allow it, don't retry it or refuse it."""

    ALLOWED = 'free'
    NO_RETRY = 'watched'
    REFUSED = 'refused'


@attrs.frozen
class Finding:
    """A suspect that is blamed, and the crashes that it explains."""

    mark: bytes
    verdict: Verdict
    crashes: tuple[crash_records.Crash, ...]

    @property
    def severity(self) -> tuple[bool, int]:
        """Return what orders findings: refused first, then by crashes."""
        return self.verdict is Verdict.REFUSED, len(self.crashes)


Findings = collections.abc.Mapping[bytes, Finding]


class PoisonCalls:
    """What this entry knows of crashes, and what it blames them on."""

    def __init__(self) -> None:
        """Start without crashes."""
        self._records = crash_records.CrashRecords()
        self._findings: Findings = {}
        self._found_serial = 0
        self._next_look = -math.inf

    @property
    def records(self) -> crash_records.CrashRecords:
        """Return the crashes."""
        return self._records

    def findings(self, now: float) -> Findings:
        """Return what is blamed, by mark."""
        is_current = self._found_serial == self._records.serial
        if is_current and now < self._next_look:
            return self._findings
        crashes = self._records.crashes(now)
        self._findings = find_poison(crashes)
        self._found_serial = self._records.serial
        self._next_look = now + _seconds_to_change(crashes)
        return self._findings

    def worst(
        self, marks: collections.abc.Iterable[bytes], now: float
    ) -> Finding | None:
        """Return the strictest finding of a call's marks."""
        findings = self.findings(now)
        found = [findings[mark] for mark in marks if mark in findings]
        return max(found, key=operator.attrgetter('severity'), default=None)

    def verdict(
        self, marks: collections.abc.Iterable[bytes], now: float
    ) -> Verdict:
        """Decide how to handle a call with these marks."""
        finding = self.worst(marks, now)
        return Verdict.ALLOWED if finding is None else finding.verdict


def find_poison(
    crashes: collections.abc.Sequence[crash_records.Crash],
) -> dict[bytes, Finding]:
    """Blame the fewest suspects that explain the crashes, by mark."""
    unexplained = _list_accused(crashes)
    cleared = {
        suspect.mark
        for crash in crashes
        for suspect in crash.suspects
        if suspect.is_cleared
    }
    found: dict[bytes, Finding] = {}
    for _ in range(MAX_FINDINGS):
        finding = _likeliest(unexplained, cleared)
        if finding is None:
            break
        found.setdefault(finding.mark, finding)
        explained = {crash.start for crash in finding.crashes}
        unexplained = [
            accused
            for accused in unexplained
            if accused.crash.start not in explained
        ]
    return found


@attrs.frozen
class _Accused:
    """A crash with the suspects that it may be blamed on."""

    crash: crash_records.Crash
    suspects: tuple[crash_records.Suspect, ...]


@attrs.define(eq=False)
class _Count:
    """The crashes that one suspect would explain."""

    mark: bytes
    depth: int = 0
    is_doubtful: bool = False
    crashes: list[crash_records.Crash] = attrs.field(factory=list)

    @property
    def verdict(self) -> Verdict:
        if len(self.crashes) < NO_RETRY_LOSSES:
            return Verdict.ALLOWED
        needed = REFUSED_LOSSES
        if self.is_doubtful:
            needed = DOUBTFUL_REFUSED_LOSSES
        has_moments = _count_moments(self.crashes) >= MIN_REFUSED_MOMENTS
        if len(self.crashes) < needed or not has_moments:
            return Verdict.NO_RETRY
        return Verdict.REFUSED

    @property
    def rank(self) -> tuple[int, int, bytes]:
        """Return what orders suspects with about as many crashes."""
        return self.depth, len(self.crashes), self.mark


def _likeliest(
    unexplained: list[_Accused], cleared: set[bytes]
) -> Finding | None:
    """Find the suspect that most likely caused some of the crashes."""
    counts = _count_suspects(unexplained, cleared)
    for verdict in (Verdict.REFUSED, Verdict.NO_RETRY):
        alike = [count for count in counts if count.verdict is verdict]
        if not alike:
            continue
        most = max(len(count.crashes) for count in alike)
        fewest = most - WIDER_SUSPECT_LOSSES
        near = [count for count in alike if len(count.crashes) > fewest]
        blamed = max(near, key=operator.attrgetter('rank'))
        return Finding(blamed.mark, verdict, tuple(blamed.crashes))
    return None


def _count_suspects(
    unexplained: list[_Accused], cleared: set[bytes]
) -> list[_Count]:
    """Count the crashes of each suspect that no answer has cleared."""
    # A cause crashes its targets at the same point of the answer.
    counts: dict[tuple[bytes, crash_records.Reach], _Count] = {}
    for accused in unexplained:
        for suspect in accused.suspects:
            count = counts.setdefault(
                (suspect.mark, suspect.reach), _Count(suspect.mark)
            )
            count.depth = max(count.depth, suspect.depth)
            count.crashes.append(accused.crash)
    for count in counts.values():
        is_minor = _explains_few(count.crashes, unexplained)
        count.is_doubtful = is_minor or count.mark in cleared
    return list(counts.values())


def _explains_few(
    crashes: list[crash_records.Crash], unexplained: list[_Accused]
) -> bool:
    """Tell whether most crashes from the first to the last are others."""
    first = max(crash.lost for crash in crashes)
    last = min(crash.lost for crash in crashes)
    meanwhile = sum(
        last <= accused.crash.lost <= first for accused in unexplained
    )
    return 2 * len(crashes) < meanwhile


def _list_accused(
    crashes: collections.abc.Sequence[crash_records.Crash],
) -> list[_Accused]:
    """List the crashes that are old enough, with what may have caused them."""
    mature = [
        crash for crash in crashes if crash.lost >= CORRELATED_LOSS_SECONDS
    ]
    accused = []
    for crash in mature:
        together = [
            other
            for other in mature
            if abs(other.lost - crash.lost) <= CORRELATED_LOSS_SECONDS
        ]
        suspects = _evidence(crash)
        if len(together) >= CORRELATED_LOSS_TARGETS:
            # Something else took down all of them, unless half had a suspect.
            shares = collections.Counter(
                suspect.mark for other in together for suspect in other.suspects
            )
            suspects = [
                suspect
                for suspect in suspects
                if 2 * shares[suspect.mark] >= len(together)
            ]
        accused.append(_Accused(crash, tuple(suspects)))
    return accused


def _evidence(
    crash: crash_records.Crash,
) -> list[crash_records.Suspect]:
    """List the suspects that a crash may be blamed on."""
    # Where no call at all is answered, what many calls share isn't the cause.
    answered = {
        crash_records.Reach.NOTHING: crash.is_cleared(crash_records.ANY_BEGUN),
        crash_records.Reach.BEGUN: crash.is_cleared(crash_records.ANY_WHOLE),
    }
    return [
        suspect
        for suspect in crash.suspects
        if not suspect.is_cleared
        and suspect.mark not in crash_records.ANY_REACHES
        and (answered.get(suspect.reach) or not suspect.is_shared)
    ]


def _count_moments(crashes: list[crash_records.Crash]) -> int:
    """Count the crashes, those that came together as one."""
    count = 0
    ends_at = -1.0
    for lost in sorted(crash.lost for crash in crashes):
        if lost <= ends_at:
            continue
        count += 1
        ends_at = lost + CORRELATED_LOSS_SECONDS
    return count


def _seconds_to_change(crashes: list[crash_records.Crash]) -> float:
    """Return when the verdicts may change without a new crash or answer."""
    waits = [
        CORRELATED_LOSS_SECONDS - crash.lost
        for crash in crashes
        if crash.lost < CORRELATED_LOSS_SECONDS
    ]
    return min(waits, default=crash_records.REFRESH_SECONDS)
