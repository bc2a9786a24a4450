"""Detect poison calls, which crash every target that runs them."""

from __future__ import annotations

import collections
import collections.abc
import enum
import math

import attrs

from tamarackthread.generated.messages import ttypes as messages

# Crashes after which a call isn't retried and after which it is refused;
# ordinary calls may see one or two by coincidence.
NO_RETRY_LOSSES = 2
REFUSED_LOSSES = 3
# This many targets lost within this time share a cause, such as a power or
# network failure, so the loss isn't attributed to calls.
CORRELATED_LOSS_SECONDS = 0.5
CORRELATED_LOSS_TARGETS = 3
# Time to live of a history; a refused call is then tried again.
HISTORY_TTL_SECONDS = 60.0
# Most histories kept; the least recently updated one is evicted first.
MAX_CALLS = 128
MILLISECONDS = 1000


class Verdict(enum.Enum):
    """How to handle a call: allow it, don't retry it or refuse it."""

    ALLOWED = 'free'
    NO_RETRY = 'watched'
    REFUSED = 'refused'


@attrs.frozen(kw_only=True)
class CrashHistory:
    """The crashes caused by one call; ``mark`` is its fingerprint."""

    mark: bytes
    # Target instances that were lost while running the call.
    starts: frozenset[str] = frozenset()
    # Seconds since the last loss and the last answer, or infinity.
    lost: float = math.inf
    answered: float = math.inf

    @property
    def is_harmless(self) -> bool:
        """Tell whether the call was answered since its last crash."""
        return self.answered <= self.lost

    def is_equivalent(self, other: CrashHistory) -> bool:
        """Tell whether both are the same except for their ages."""
        is_alike = self.is_harmless == other.is_harmless
        return is_alike and self.starts == other.starts

    def aged(self, seconds: float) -> CrashHistory:
        """Return a copy whose ages are increased by ``seconds``."""
        return attrs.evolve(
            self, lost=self.lost + seconds, answered=self.answered + seconds
        )

    def merged(self, other: CrashHistory) -> CrashHistory:
        """Merge two histories; an answer clears the crashes before it."""
        answered = min(self.answered, other.answered)
        counted = [
            history for history in (self, other) if history.lost < answered
        ]
        starts = frozenset[str]().union(
            *(history.starts for history in counted)
        )
        return CrashHistory(
            mark=self.mark,
            starts=starts,
            lost=min(self.lost, other.lost),
            answered=answered,
        )


@attrs.frozen
class _Loss:
    mark: bytes
    start: str
    seen_at: float


@attrs.define(eq=False)
class _Record:
    """A call's history; times are the loop's, minus infinity for never."""

    starts: set[str] = attrs.field(factory=set)
    lost_at: float = -math.inf
    answered_at: float = -math.inf


class PoisonCalls:
    """The crash histories seen by this entry and received from others."""

    # Each entry keeps what all of them know, so that a history outlives the
    # entries that have seen it; all forget it at the same time, by its age.

    def __init__(self) -> None:
        """Start without histories."""
        self._records: collections.OrderedDict[bytes, _Record] = (
            collections.OrderedDict()
        )
        self._losses: collections.deque[_Loss] = collections.deque()
        self._pending: list[_Loss] = []
        self._serial = 0

    @property
    def serial(self) -> int:
        """Return a version that grows with each change to be shared."""
        return self._serial

    def __bool__(self) -> bool:
        """Tell whether there are histories, so that calls need a look-up."""
        return bool(self._records or self._pending)

    def record_loss(self, mark: bytes, start: str, now: float) -> None:
        """Record that a target instance was lost before answering a call."""
        loss = _Loss(mark, start, now)
        self._losses.append(loss)
        self._pending.append(loss)

    def record_answer(self, mark: bytes, now: float) -> None:
        """Record an answer to a call; calls without a history are ignored."""
        is_pending = any(loss.mark == mark for loss in self._pending)
        if mark not in self._records and not is_pending:
            return
        history = self._record(mark)
        history.starts.clear()
        history.answered_at = now
        self._serial += 1
        self._pending = [loss for loss in self._pending if loss.mark != mark]

    def merge(
        self,
        others: collections.abc.Iterable[CrashHistory],
        now: float,
    ) -> None:
        """Merge histories received from other entries."""
        for other in others:
            if min(other.lost, other.answered) >= HISTORY_TTL_SECONDS:
                continue
            held = self._history(other.mark, now)
            combined = held.merged(other)
            # Ages differ slightly between entries and aren't shared again.
            if combined.is_equivalent(held):
                continue
            self._serial += 1
            history = self._record(other.mark)
            history.starts = set(combined.starts)
            history.lost_at = now - combined.lost
            history.answered_at = now - combined.answered

    def histories(self, now: float) -> list[CrashHistory]:
        """List the histories."""
        self._attribute_losses(now)
        return [self._history(mark, now) for mark in self._records]

    def crash_count(self, mark: bytes, now: float) -> int:
        """Count the instances that a call has crashed, 0 if it is harmless."""
        self._attribute_losses(now)
        found = self._history(mark, now)
        return 0 if found.is_harmless else len(found.starts)

    def verdict(self, mark: bytes, now: float) -> Verdict:
        """Decide how to handle a call."""
        losses = self.crash_count(mark, now)
        if losses >= REFUSED_LOSSES:
            return Verdict.REFUSED
        return (
            Verdict.NO_RETRY if losses >= NO_RETRY_LOSSES else Verdict.ALLOWED
        )

    def _record(self, mark: bytes) -> _Record:
        history = self._records.setdefault(mark, _Record())
        self._records.move_to_end(mark)
        if len(self._records) > MAX_CALLS:
            self._records.popitem(last=False)
        return history

    def _history(self, mark: bytes, now: float) -> CrashHistory:
        history = self._records.get(mark)
        if history is None:
            return CrashHistory(mark=mark)
        return CrashHistory(
            mark=mark,
            starts=frozenset(history.starts),
            lost=now - history.lost_at,
            answered=now - history.answered_at,
        )

    def _attribute_losses(self, now: float) -> None:
        """Attribute losses that are old enough to exclude a common cause."""
        pending = self._pending
        self._pending = []
        for loss in pending:
            if now - loss.seen_at < CORRELATED_LOSS_SECONDS:
                self._pending.append(loss)
                continue
            if self._is_isolated(loss):
                history = self._record(loss.mark)
                self._serial += loss.start not in history.starts
                history.starts.add(loss.start)
                history.lost_at = max(history.lost_at, loss.seen_at)
        self._evict_expired(now)

    def _is_isolated(self, loss: _Loss) -> bool:
        """Tell whether a loss wasn't correlated with those of others."""
        correlated = {
            other.start
            for other in self._losses
            if abs(other.seen_at - loss.seen_at) <= CORRELATED_LOSS_SECONDS
        }
        return len(correlated) < CORRELATED_LOSS_TARGETS

    def _evict_expired(self, now: float) -> None:
        oldest = now - HISTORY_TTL_SECONDS
        while self._losses and self._losses[0].seen_at < oldest:
            self._losses.popleft()
        for mark, history in tuple(self._records.items()):
            if max(history.lost_at, history.answered_at) < oldest:
                self._records.pop(mark)


def merge(rows: collections.abc.Iterable[CrashHistory]) -> list[CrashHistory]:
    """Merge the histories of several entries by call."""
    found: dict[bytes, CrashHistory] = {}
    for history in rows:
        held = found.get(history.mark)
        found[history.mark] = history if held is None else held.merged(history)
    return list(found.values())


def to_message(history: CrashHistory) -> messages.SiteSuspect:
    """Convert a history into a message between nodes."""
    return messages.SiteSuspect(
        mark=history.mark,
        starts=sorted(history.starts),
        lost_ms=_milliseconds(history.lost) or 0,
        answered_ms=_milliseconds(history.answered),
    )


def from_message(message: messages.SiteSuspect) -> CrashHistory:
    """Convert a message back into a history."""
    answered = math.inf
    if message.answered_ms is not None:
        answered = message.answered_ms / MILLISECONDS
    return CrashHistory(
        mark=message.mark,
        starts=frozenset(message.starts),
        lost=(message.lost_ms or 0) / MILLISECONDS
        if message.starts
        else math.inf,
        answered=answered,
    )


def _milliseconds(seconds: float) -> int | None:
    return None if math.isinf(seconds) else round(seconds * MILLISECONDS)
