"""Estimate a target's load: the own calls as they are now, plus those of other
entries from the last report, weighted by its age.
"""

from __future__ import annotations

import math

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import calls


@attrs.frozen(slots=True, kw_only=True)
class LoadSettings:
    """Hold defaults for what reports lack, and the limits of an estimate."""

    # Entries that send to the target.
    entries: int = 1
    batch_slots: int = 16
    step_seconds: float = 0.006
    # Prompt tokens that an engine prefills in one step.
    chunk_tokens: int = 512
    # Time that a call holds a slot, until own calls have ended.
    service_seconds: float = 1.0
    # Age at which a report has half its weight.
    half_life_seconds: float = 1.0
    # Time without reports after which a lower sequence is a restarted agent's.
    restart_seconds: float = 3.0
    # Work that may queue at the target, to cover the round trip.
    queue_seconds: float = 0.03


@attrs.define(slots=True, eq=False)
class InFlightCall:
    """One of this entry's calls to the target."""

    sent_at: float
    tokens: int
    started_at: float | None = None
    finished_at: float | None = None

    def was_open(self, moment: float) -> bool:
        """Tell whether the target held the call at that moment."""
        if self.sent_at > moment:
            return False
        return self.finished_at is None or self.finished_at > moment

    def was_waiting(self, moment: float) -> bool:
        """Tell whether the call was waiting for its first token then."""
        if not self.was_open(moment):
            return False
        return self.started_at is None or self.started_at > moment


class TargetLoad:
    """Hold one entry's estimate of one target's load."""

    def __init__(self, settings: LoadSettings | None = None) -> None:
        """Start with the defaults of the settings."""
        self._settings = settings or LoadSettings()
        self._report = messages.LoadReport(
            sequence=-1,
            running=0,
            queued=0,
            batch_slots=self._settings.batch_slots,
            queued_tokens=0,
            step_ms=self._settings.step_seconds * 1000,
        )
        self._measured_at = -math.inf
        self._calls: dict[int, InFlightCall] = {}
        self._waiting: dict[int, InFlightCall] = {}
        self._open_calls = 0
        self._waiting_tokens = 0
        self._other_calls = 0
        self._other_tokens = 0
        self._service_seconds = self._settings.service_seconds
        self._pace: float = 0
        self._pace_measured_at = -math.inf

    @property
    def last_report(self) -> messages.LoadReport:
        """Return the newest report, with sequence -1 before the first."""
        return self._report

    @property
    def own_calls(self) -> int:
        """Return the number of this entry's calls that the target holds."""
        return self._open_calls

    @property
    def slots(self) -> int:
        """Return the number of calls that the target can run at once."""
        return self._report.batch_slots or self._settings.batch_slots

    @property
    def step_seconds(self) -> float:
        """Return the step time, from own streams if newer than the report."""
        if self._pace and self._pace_measured_at > self._measured_at:
            return self._pace
        if not self._report.step_ms:
            return self._settings.step_seconds
        return self._report.step_ms / 1000

    @property
    def service_seconds(self) -> float:
        """Return the mean time that recent own calls held a slot."""
        return self._service_seconds

    @property
    def chunk_tokens(self) -> int:
        """Return the prompt tokens that the engine prefills in one step."""
        return self._settings.chunk_tokens

    @property
    def entries(self) -> int:
        """Return the number of entries that send to the target."""
        return self._report.entries or self._settings.entries

    @property
    def guaranteed_slots(self) -> int:
        """Return the slots that this entry may always use."""
        return math.ceil(self.slots / self.entries)

    @property
    def queue_allowance(self) -> int:
        """Return the number of calls that may queue to keep the target busy."""
        return math.ceil(
            self._settings.queue_seconds * self.slots / self._service_seconds
        )

    @property
    def guaranteed_rate(self) -> float:
        """Return the calls per second that fit into this entry's slots."""
        return self.slots / self.entries / self._service_seconds

    @property
    def accepts_calls(self) -> bool:
        """Tell whether the target is neither leaving nor stuck."""
        return not (self._report.leaving or self._report.stuck)

    def age(self, now: float) -> float:
        """Return the seconds since the last report was measured."""
        return now - self._measured_at

    def report(self, report: messages.LoadReport, now: float) -> bool:
        """Apply a report unless it is repeated or out of order; tell whether it
        was applied.
        """
        measured_at = now - (report.age_ms or 0) / 1000
        was_silent = now - self._measured_at > self._settings.restart_seconds
        if report.sequence <= self._report.sequence and not was_silent:
            return False
        self._report = report
        self._measured_at = measured_at
        self._separate_own(report, measured_at)
        self._drop_finished(measured_at)
        return True

    def sent(self, tokens: int, now: float) -> InFlightCall:
        """Record a call of ``tokens`` prompt tokens that is sent now."""
        call = InFlightCall(sent_at=now, tokens=tokens)
        self._calls[id(call)] = call
        self._waiting[id(call)] = call
        self._open_calls += 1
        self._waiting_tokens += tokens
        return call

    def observe_pace(self, pace: float, now: float) -> None:
        """Record an own stream's seconds per event; 0 means unknown."""
        if not pace:
            return
        known = self._pace or pace
        self._pace = known + (pace - known) / 8
        self._pace_measured_at = now

    def first_token(self, call: InFlightCall, now: float) -> None:
        """Record the first token of a call; idempotent."""
        if call.started_at is not None:
            return
        call.started_at = now
        if self._waiting.pop(id(call), None) is not None:
            self._waiting_tokens -= call.tokens

    def finished(self, call: InFlightCall, now: float) -> None:
        """Record the end of a call, whatever its outcome; idempotent."""
        if call.finished_at is not None:
            return
        if call.started_at is not None:
            self._service_seconds += (
                now - call.sent_at - self._service_seconds
            ) / 16
        call.finished_at = now
        if self._waiting.pop(id(call), None) is not None:
            self._waiting_tokens -= call.tokens
        self._open_calls -= 1
        self._drop_finished(max(self._measured_at, now - 10))

    def occupancy(self, now: float) -> float:
        """Estimate the number of calls at the target, running or queued."""
        # As the report ages, other entries count as busy as this one.
        weight = self._report_weight(now)
        assumed_calls = self._open_calls * (self.entries - 1)
        return (
            self._open_calls
            + weight * self._other_calls
            + (1 - weight) * assumed_calls
        )

    def waiting_tokens(self, now: float) -> float:
        """Estimate the number of prompt tokens that wait for prefill."""
        return (
            self._waiting_tokens + self._report_weight(now) * self._other_tokens
        )

    def has_room(self, now: float, reserve: int = 0) -> bool:
        """Tell whether one more call fits, with ``reserve`` slots kept free."""
        # Beyond its guaranteed slots, an entry leaves one to each other entry,
        # because all of them see the same free slots in the last report.
        entries = self.entries
        slots = self.slots - reserve
        after = self.occupancy(now) + 1
        if after + entries - 1 <= slots:
            return True
        if self._open_calls >= self.guaranteed_slots:
            return False
        return after <= slots + self.queue_allowance

    def oldest_wait(self, now: float) -> float:
        """Return how long the oldest call has waited for its first token."""
        if not self._waiting:
            return 0
        return now - next(iter(self._waiting.values())).sent_at

    def expected_first_token(
        self,
        tokens: float,
        now: float,
        priority: calls.Priority = calls.Priority.NORMAL,
    ) -> float:
        """Estimate seconds to the first token, with ``tokens`` to prefill."""
        # The oldest wait is a lower bound: it shows a stalled target earlier
        # than any report.
        step = self.step_seconds
        excess = max(0, self.occupancy(now) + 1 - self.slots)
        ahead = self.waiting_tokens(now)
        if priority == calls.Priority.URGENT:
            excess = min(1, excess)
            ahead = min(ahead, self._settings.chunk_tokens)
        slot_wait = excess * self._service_seconds / self.slots
        steps = 1 + (ahead + tokens) / self._settings.chunk_tokens
        return max(slot_wait + steps * step, self.oldest_wait(now))

    def expected_answer(
        self,
        tokens: float,
        answer_tokens: float,
        now: float,
    ) -> float:
        """Estimate the seconds until the answer is complete."""
        first = self.expected_first_token(tokens, now)
        return first + answer_tokens * self.step_seconds

    def _report_weight(self, now: float) -> float:
        return 0.5 ** (max(0, self.age(now)) / self._settings.half_life_seconds)

    def _separate_own(
        self, report: messages.LoadReport, measured_at: float
    ) -> None:
        own = 0
        own_tokens = 0
        for call in self._calls.values():
            if call.was_open(measured_at):
                own += 1
            if call.was_waiting(measured_at):
                own_tokens += call.tokens
        reported = (report.running or 0) + (report.queued or 0)
        self._other_calls = max(0, reported - own)
        self._other_tokens = max(0, (report.queued_tokens or 0) - own_tokens)

    def _drop_finished(self, moment: float) -> None:
        while self._calls:
            key = next(iter(self._calls))
            finished_at = self._calls[key].finished_at
            if finished_at is None or finished_at > moment:
                return
            self._calls.pop(key)
