"""Imitate an engine at its interface: slots, steps, a queue and a cache.

The batch is continuous: each step gives every running call one token and
spends a bounded chunk on prompts.  The queue honours priorities.
"""

from __future__ import annotations

import abc
import asyncio
import collections
import collections.abc
import heapq
import itertools

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import affinity

STEP_SECONDS = 0.006
SECONDS_PER_CALL = 0.00005
SECONDS_PER_PROMPT_TOKEN = 0.00001
CHUNK_TOKENS = 512
PROGRESS_TOKENS = 4


@attrs.define(slots=True, eq=False)
class Job:
    """One call at an engine; the callbacks get the outcome."""

    priority: int
    prompt_tokens: int
    answer_tokens: int
    prefixes: tuple[int, ...]
    on_first: collections.abc.Callable[[], None]
    on_end: collections.abc.Callable[[], None]
    on_progress: collections.abc.Callable[[int], object] | None = None
    prompt_left: int = 0
    decoded: int = 0
    cancelled: bool = False


@attrs.frozen(slots=True, kw_only=True)
class Stall:
    """Slow every step by ``factor`` from ``start`` to ``stop``, in seconds."""

    start: float
    stop: float
    factor: float

    def slowdown(self, now: float) -> float:
        """Return the factor in force now."""
        return self.factor if self.start <= now < self.stop else 1


class Engine(abc.ABC):
    """Run jobs in slots, others wait in a bounded queue by priority."""

    def __init__(
        self,
        name: str,
        zone: str,
        slots: int,
        queue_limit: int,
    ) -> None:
        """Start idle."""
        self.name = name
        self.zone = zone
        self.slots = slots
        self._queue_limit = queue_limit
        self._queue: list[tuple[int, int, Job]] = []
        self._running: list[Job] = []
        self._order = itertools.count()
        self._sequence = itertools.count()

    @property
    def free(self) -> int:
        """Count the slots that nobody has or waits for."""
        return self.slots - len(self._running) - len(self._queue)

    def submit(self, job: Job) -> bool:
        """Queue a job; return false, run nothing, when the queue is full."""
        if len(self._queue) >= self._queue_limit and self.free <= 0:
            return False
        heapq.heappush(self._queue, (job.priority, next(self._order), job))
        self._pump()
        return True

    def cancel(self, job: Job) -> None:
        """Drop a job whose caller is gone."""
        job.cancelled = True
        self._queue = [row for row in self._queue if row[2] is not job]
        heapq.heapify(self._queue)

    @abc.abstractmethod
    def report(self) -> messages.LoadReport:
        """Describe the load at this moment."""

    @abc.abstractmethod
    def _pump(self) -> None:
        """Start what can be started."""

    def _next(self) -> Job | None:
        if not self._queue or len(self._running) >= self.slots:
            return None
        return heapq.heappop(self._queue)[2]


class ModelEngine(Engine):
    """Imitate a model replica: one lock-stepped group with a prefix cache."""

    def __init__(
        self,
        name: str,
        zone: str,
        slots: int,
        queue_limit: int,
        cache_blocks: int,
        stall: Stall | None = None,
    ) -> None:
        """Start idle with an empty cache."""
        super().__init__(name, zone, slots, queue_limit)
        self._cache: collections.OrderedDict[int, bool] = (
            collections.OrderedDict()
        )
        self._cache_blocks = cache_blocks
        self._stall = stall or Stall(start=0, stop=0, factor=1)
        self._stepping = False
        self._step_seconds = STEP_SECONDS
        self._events = 0
        self._notes: list[messages.PrefixNote] = []

    def report(self) -> messages.LoadReport:
        """Describe the load and the cache events since the last report."""
        notes = self._notes
        self._notes = []
        waiting = [row[2] for row in self._queue]
        tokens = sum(job.prompt_left for job in self._running + waiting)
        return messages.LoadReport(
            target=self.name,
            sequence=next(self._sequence),
            age_ms=0,
            running=len(self._running),
            queued=len(self._queue),
            batch_slots=self.slots,
            queued_tokens=tokens,
            step_ms=self._step_seconds * 1000,
            tokens_per_second=len(self._running) / self._step_seconds,
            leaving=False,
            stuck=False,
            prefixes=notes,
            prefix_sequence=self._events,
        )

    def holds(self, prefixes: collections.abc.Iterable[int]) -> bool:
        """Tell whether the cache holds all of the prefixes."""
        return all(prefix in self._cache for prefix in prefixes)

    def submit(self, job: Job) -> bool:
        """Queue a job and find out how much of its prompt is cached."""
        cached = 0
        for prefix in job.prefixes:
            if prefix not in self._cache:
                break
            cached += affinity.BLOCK_TOKENS
        job.prompt_left = max(1, job.prompt_tokens - cached)
        return super().submit(job)

    def _pump(self) -> None:
        if not self._stepping:
            self._start_step()

    def _start_step(self) -> None:
        while job := self._next():
            self._running.append(job)
        self._stepping = bool(self._running)
        if not self._stepping:
            return
        loop = asyncio.get_running_loop()
        spent = self._prefill()
        seconds = STEP_SECONDS + SECONDS_PER_CALL * len(self._running)
        seconds += SECONDS_PER_PROMPT_TOKEN * spent
        self._step_seconds = seconds * self._stall.slowdown(loop.time())
        loop.call_later(self._step_seconds, self._end_step)

    def _prefill(self) -> int:
        budget = CHUNK_TOKENS
        for job in sorted(self._running, key=_priority):
            part = min(budget, job.prompt_left)
            job.prompt_left -= part
            budget -= part
            if not budget:
                break
        return CHUNK_TOKENS - budget

    def _end_step(self) -> None:
        staying = []
        for job in self._running:
            if job.cancelled:
                continue
            if not job.prompt_left:
                self._decode(job)
            if job.decoded < job.answer_tokens:
                staying.append(job)
        self._running = staying
        self._start_step()

    def _decode(self, job: Job) -> None:
        job.decoded += 1
        if job.decoded == 1:
            self._remember(job.prefixes)
            job.on_first()
        if job.on_progress and job.decoded % PROGRESS_TOKENS == 0:
            job.on_progress(PROGRESS_TOKENS)
        if job.decoded >= job.answer_tokens:
            job.on_end()

    def _remember(self, prefixes: collections.abc.Iterable[int]) -> None:
        for prefix in prefixes:
            if prefix not in self._cache:
                self._note(prefix, held=True)
            self._cache[prefix] = True
            self._cache.move_to_end(prefix)
        while len(self._cache) > self._cache_blocks:
            dropped, _ = self._cache.popitem(last=False)
            self._note(dropped, held=False)

    def _note(self, prefix: int, held: bool) -> None:
        self._events += 1
        self._notes.append(messages.PrefixNote(prefix=prefix, held=held))


class PlainEngine(Engine):
    """Imitate a plain replica: workers that each answer one call."""

    def __init__(
        self,
        name: str,
        zone: str,
        slots: int,
        queue_limit: int,
        seconds: float,
    ) -> None:
        """Start idle; each call takes ``seconds``."""
        super().__init__(name, zone, slots, queue_limit)
        self._seconds = seconds

    def report(self) -> messages.LoadReport:
        """Describe the load; a plain replica's step is one whole call."""
        return messages.LoadReport(
            target=self.name,
            sequence=next(self._sequence),
            age_ms=0,
            running=len(self._running),
            queued=len(self._queue),
            batch_slots=self.slots,
            queued_tokens=0,
            step_ms=self._seconds * 1000,
            tokens_per_second=0,
            leaving=False,
            stuck=False,
            prefixes=[],
            prefix_sequence=0,
        )

    def _pump(self) -> None:
        loop = asyncio.get_running_loop()
        while job := self._next():
            self._running.append(job)
            loop.call_later(self._seconds, self._finish, job)

    def _finish(self, job: Job) -> None:
        self._running.remove(job)
        if not job.cancelled:
            job.on_first()
            job.on_end()
        self._pump()


def _priority(job: Job) -> int:
    return job.priority
