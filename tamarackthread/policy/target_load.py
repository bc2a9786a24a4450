"""Estimate the load of one target from old reports and own calls.

A report says how things stood when the engine measured them.  The entry
knows its own calls to the moment, so it takes its own calls out of the
report as they stood then, and adds them as they stand now.  What remains
unknown is what other entries did since; that share is aged.
"""

from __future__ import annotations

import math

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import calls


@attrs.frozen(slots=True, kw_only=True)
class LoadSettings:
    """Hold what is assumed where reports say nothing.

    Times are in seconds.  ``chunk_tokens`` is how many prompt tokens an
    engine takes in one step, ``service_seconds`` how long a call holds its slot
    until own calls have shown it.  ``entries`` is how many entries send to
    the target; ``half_life_seconds`` is the age at which a report counts half.  A
    target may have ``queue_seconds`` of work waiting, which covers the way there
    and back.
    """

    entries: int = 1
    batch_slots: int = 16
    step_seconds: float = 0.006
    chunk_tokens: int = 512
    service_seconds: float = 1.0
    half_life_seconds: float = 1.0
    restart_seconds: float = 3.0
    queue_seconds: float = 0.03


@attrs.define(slots=True, eq=False)
class InFlightCall:
    """One own call on its way to, in or from the target."""

    sent_at: float
    tokens: int
    started_at: float | None = None
    finished_at: float | None = None

    def was_open(self, moment: float) -> bool:
        """Tell whether the target had the call at that moment."""
        if self.sent_at > moment:
            return False
        return self.finished_at is None or self.finished_at > moment

    def was_waiting(self, moment: float) -> bool:
        """Tell whether the call still waited for its first token then."""
        if not self.was_open(moment):
            return False
        return self.started_at is None or self.started_at > moment


class TargetLoad:
    """Keep one entry's view of one target."""

    def __init__(self, settings: LoadSettings | None = None) -> None:
        """Start without any report, trusting the settings."""
        self._settings = settings or LoadSettings()
        self._report = messages.LoadReport(
            sequence=-1,
            running=0,
            queued=0,
            batch_slots=self._settings.batch_slots,
            queued_tokens=0,
            step_ms=self._settings.step_seconds * 1000,
        )
        self._taken_at = -math.inf
        self._flights: dict[int, InFlightCall] = {}
        self._waiting: dict[int, InFlightCall] = {}
        self._open = 0
        self._waiting_tokens = 0
        self._others = 0
        self._others_tokens = 0
        self._service_seconds = self._settings.service_seconds
        self._pace: float = 0
        self._paced_at = -math.inf

    @property
    def last_report(self) -> messages.LoadReport:
        """Return the newest report, with sequence -1 before the first."""
        return self._report

    @property
    def own_calls(self) -> int:
        """Count the calls of this entry that the target holds."""
        return self._open

    @property
    def slots(self) -> int:
        """Return how many calls the target runs at the same time."""
        return self._report.batch_slots or self._settings.batch_slots

    @property
    def step_seconds(self) -> float:
        """Return the time of one step, as own streams show it or as reported.

        Own streams show a stalled rank a few tokens after it stalls; a report
        shows it hundreds of milliseconds later.
        """
        if self._pace and self._paced_at > self._taken_at:
            return self._pace
        if not self._report.step_ms:
            return self._settings.step_seconds
        return self._report.step_ms / 1000

    @property
    def service_seconds(self) -> float:
        """Return how long own calls lately held a slot, in seconds."""
        return self._service_seconds

    @property
    def chunk_tokens(self) -> int:
        """Return how many prompt tokens the engine takes in one step."""
        return self._settings.chunk_tokens

    @property
    def entries(self) -> int:
        """Return how many entries send to the target, as its agent counts."""
        return self._report.entries or self._settings.entries

    @property
    def guaranteed_slots(self) -> int:
        """Return the slots that this entry may always use."""
        return math.ceil(self.slots / self.entries)

    @property
    def queue_allowance(self) -> int:
        """Return the calls that may wait at the target to keep it busy."""
        return math.ceil(
            self._settings.queue_seconds * self.slots / self._service_seconds
        )

    @property
    def guaranteed_rate(self) -> float:
        """Return the calls a second that this entry's portion would allow."""
        return self.slots / self.entries / self._service_seconds

    @property
    def accepts_calls(self) -> bool:
        """Tell whether the target is neither leaving nor stuck."""
        return not (self._report.leaving or self._report.stuck)

    def age(self, now: float) -> float:
        """Return the age of the last report's figures, in seconds."""
        return now - self._taken_at

    def report(self, report: messages.LoadReport, now: float) -> bool:
        """Take in a report; tell whether it was news.

        Doubled and overtaken reports are dropped by their sequence.  A lower
        sequence after a long silence is a restarted agent's, and is taken.
        """
        taken_at = now - (report.age_ms or 0) / 1000
        is_silent = now - self._taken_at > self._settings.restart_seconds
        if report.sequence <= self._report.sequence and not is_silent:
            return False
        self._report = report
        self._taken_at = taken_at
        self._split(report, taken_at)
        self._forget(taken_at)
        return True

    def sent(self, tokens: int, now: float) -> InFlightCall:
        """Count a call of ``tokens`` prompt tokens that is sent now."""
        flight = InFlightCall(sent_at=now, tokens=tokens)
        self._flights[id(flight)] = flight
        self._waiting[id(flight)] = flight
        self._open += 1
        self._waiting_tokens += tokens
        return flight

    def observe_pace(self, pace: float, now: float) -> None:
        """Take in the pace of an own stream, in seconds an event; 0 is none."""
        if not pace:
            return
        known = self._pace or pace
        self._pace = known + (pace - known) / 8
        self._paced_at = now

    def first_token(self, flight: InFlightCall, now: float) -> None:
        """Note the first token of a call; a second note changes nothing."""
        if flight.started_at is not None:
            return
        flight.started_at = now
        if self._waiting.pop(id(flight), None) is not None:
            self._waiting_tokens -= flight.tokens

    def finished(self, flight: InFlightCall, now: float) -> None:
        """Note the end of a call, however it ended; a second changes nothing."""
        if flight.finished_at is not None:
            return
        if flight.started_at is not None:
            self._service_seconds += (
                now - flight.sent_at - self._service_seconds
            ) / 16
        flight.finished_at = now
        if self._waiting.pop(id(flight), None) is not None:
            self._waiting_tokens -= flight.tokens
        self._open -= 1
        self._forget(max(self._taken_at, now - 10))

    def occupancy(self, now: float) -> float:
        """Estimate how many calls the target holds, running or queued."""
        trust = self._trust(now)
        alike = self._open * (self.entries - 1)
        return self._open + trust * self._others + (1 - trust) * alike

    def waiting_tokens(self, now: float) -> float:
        """Estimate the prompt tokens that wait for their prefill."""
        return self._waiting_tokens + self._trust(now) * self._others_tokens

    def has_room(self, now: float, reserve: int = 0) -> bool:
        """Tell whether one more call would find a slot, ``reserve`` kept free.

        An entry may always use its portion of the slots.  Beyond it, it
        leaves one slot to each other entry, because all of them see the same
        old report and would take the same free slot.
        """
        entries = self.entries
        slots = self.slots - reserve
        after = self.occupancy(now) + 1
        if after + entries - 1 <= slots:
            return True
        if self._open >= self.guaranteed_slots:
            return False
        return after <= slots + self.queue_allowance

    def oldest_wait(self, now: float) -> float:
        """Return how long the oldest own call waits for its first token."""
        if not self._waiting:
            return 0
        return now - next(iter(self._waiting.values())).sent_at

    def expected_first_token(
        self,
        tokens: float,
        now: float,
        priority: calls.Priority = calls.Priority.NORMAL,
    ) -> float:
        """Estimate seconds until a call with ``tokens`` uncached would start.

        A call that waits unusually long tells of a target in trouble before
        any report does, so its age is a lower bound.
        """
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
        """Estimate seconds until the whole answer would be there."""
        first = self.expected_first_token(tokens, now)
        return first + answer_tokens * self.step_seconds

    def _trust(self, now: float) -> float:
        return 0.5 ** (max(0, self.age(now)) / self._settings.half_life_seconds)

    def _split(self, report: messages.LoadReport, taken_at: float) -> None:
        own = 0
        own_tokens = 0
        for flight in self._flights.values():
            if flight.was_open(taken_at):
                own += 1
            if flight.was_waiting(taken_at):
                own_tokens += flight.tokens
        reported = (report.running or 0) + (report.queued or 0)
        self._others = max(0, reported - own)
        self._others_tokens = max(0, (report.queued_tokens or 0) - own_tokens)

    def _forget(self, moment: float) -> None:
        while self._flights:
            key = next(iter(self._flights))
            finished_at = self._flights[key].finished_at
            if finished_at is None or finished_at > moment:
                return
            self._flights.pop(key)
