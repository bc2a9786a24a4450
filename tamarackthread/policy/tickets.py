"""Represent the permission to run an admitted call."""

from __future__ import annotations

import asyncio
import collections.abc

import attrs

from tamarackthread.policy import allocator, calls, migration, preemption


class Ticket:
    """The permission to run one call at one target, until released."""

    def __init__(
        self,
        call: calls.CallFacts,
        placement: allocator.Placement,
        on_release: collections.abc.Callable[[Ticket], None],
    ) -> None:
        """Hold the placement until ``release``."""
        now = _now()
        self._call = call
        self._placement = placement
        self._on_release = on_release
        self._progress = migration.Progress(sent_at=now, last_at=now)
        self._released = False
        self._preempted = asyncio.Event()

    @property
    def call(self) -> calls.CallFacts:
        """Return the call that was admitted."""
        return self._call

    @property
    def target(self) -> str:
        """Return the name of the target to send the call to."""
        return self._placement.target.name

    @property
    def start(self) -> int:
        """Return the number of the stream event to start with."""
        return self._call.resume_offset

    @property
    def step_seconds(self) -> float:
        """Return the target's current step time in seconds."""
        return self._placement.target.load.step_seconds

    @property
    def progress(self) -> migration.Progress:
        """Return the progress of the stream."""
        return self._progress

    @property
    def preempted(self) -> asyncio.Event:
        """Return the event that is set when the call must give up its slot.

        The holder then cancels the call at its target, releases the ticket
        and submits ``resumed``, or fails the call if it can't resume.
        """
        return self._preempted

    @property
    def resumed(self) -> calls.CallFacts:
        """Return the call to submit to resume at the current position.

        A call that has begun to answer bypasses the queue, since a refusal
        would break its stream.
        """
        events = self._progress.events
        return attrs.evolve(
            self._call,
            resume_offset=self._call.resume_offset + events,
            is_resumed=self._call.is_resumed or events > 0,
            prompt_tokens=self._call.prompt_tokens + events,
            answer_tokens=max(1, self._call.answer_tokens - events),
        )

    def first_token(self) -> None:
        """Record that the target began to answer."""
        self.advance(1)

    def advance(self, events: int) -> None:
        """Record that ``events`` more of the stream have arrived."""
        now = _now()
        self._progress.advance(events, now)
        self._placement.advance(self._progress, now)

    def request_move(self) -> None:
        """Ask the holder to resume at another target, bypassing the queue."""
        self._call = attrs.evolve(
            self._call,
            is_resumed=True,
            excluded=self._call.excluded | {self.target},
        )
        self._preempted.set()

    def release(self) -> None:
        """Free the slot; idempotent."""
        if self._released:
            return
        self._released = True
        self._placement.release(_now())
        self._on_release(self)

    def describe(self) -> preemption.RunningCall:
        """Return what the pre-emption policy needs to know."""
        return preemption.RunningCall(
            key=id(self),
            target=self.target,
            organisation=self._call.organisation,
            priority=self._call.priority,
            started_at=self._progress.sent_at,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
