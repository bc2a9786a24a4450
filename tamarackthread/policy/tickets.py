"""Hold the permission to run a call."""

from __future__ import annotations

import asyncio
import collections.abc

import attrs

from tamarackthread.policy import allocator, calls, migration, preemption


class Ticket:
    """The permission to run one call at one target."""

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
        """Return at which event of the stream the call starts."""
        return self._call.resume_offset

    @property
    def step_seconds(self) -> float:
        """Return the present time of a step at the target."""
        return self._placement.target.load.step_seconds

    @property
    def progress(self) -> migration.Progress:
        """Return how far the stream is."""
        return self._progress

    @property
    def preempted(self) -> asyncio.Event:
        """Return the event that asks to give the place up.

        The holder cancels the call at its target, releases, and submits
        ``resumed``, or tells the caller where it can't resume.
        """
        return self._preempted

    @property
    def resumed(self) -> calls.CallFacts:
        """Return the call as it is to be submitted at its present position.

        One that has begun to answer goes before the queue: refusing it now
        would show its caller a broken stream.
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
        """Note that the target began to answer."""
        self.advance(1)

    def advance(self, events: int) -> None:
        """Note that ``events`` more of the stream have arrived."""
        now = _now()
        self._progress.advance(events, now)
        self._placement.advance(self._progress, now)

    def request_move(self) -> None:
        """Ask the holder to go on at another target, ahead of the queue."""
        self._call = attrs.evolve(
            self._call,
            is_resumed=True,
            excluded=self._call.excluded | {self.target},
        )
        self._preempted.set()

    def release(self) -> None:
        """Give the place back, at the end or when the call was not sent."""
        if self._released:
            return
        self._released = True
        self._placement.release(_now())
        self._on_release(self)

    def describe(self) -> preemption.RunningCall:
        """Tell the pre-emption policy about the call."""
        return preemption.RunningCall(
            key=id(self),
            target=self.target,
            organisation=self._call.organisation,
            priority=self._call.priority,
            started_at=self._progress.sent_at,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
