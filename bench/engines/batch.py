"""Emulate continuous batching: a step gives each running call one token."""

from __future__ import annotations

import asyncio
import collections
import hashlib
import itertools

import attrs

from tamarackthread.policy import affinity


@attrs.frozen
class EngineOptions:
    """Shape the emulated engine; times in seconds, sizes in tokens."""

    step_seconds: float = 0.006
    slots: int = 32
    prefill_tokens_per_step: int = 2048
    cached_prefixes: int = 256


@attrs.define(eq=False)
class Running:
    """One call in the engine."""

    call_id: str
    prompt: str
    tokens: int
    priority: int
    position: int = 0
    prefill_left: int = 0
    cancelled: bool = False
    out: asyncio.Queue[str | None] = attrs.field(factory=asyncio.Queue)


def token_at(prompt: str, position: int) -> str:
    """Give the token at a position; it depends on the prompt alone."""
    seed = hashlib.blake2s(prompt.encode(), digest_size=4).hexdigest()
    return f'{seed}.{position} '


class Batch:
    """Run calls in steps, urgent ones first."""

    def __init__(self, options: EngineOptions) -> None:
        """Start empty; ``run`` does the steps."""
        self._options = options
        self._queues: dict[int, collections.deque[Running]] = {
            priority: collections.deque() for priority in range(3)
        }
        self._running: list[Running] = []
        self._prefixes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: list[tuple[int, bool]] = []
        self._event_count = itertools.count(1)
        self._last_event = 0
        self._wakeup = asyncio.Event()
        self._stalled = False
        self._tokens = 0

    @property
    def running(self) -> int:
        """Count the calls in the batch."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Count the calls that wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def queued_tokens(self) -> int:
        """Sum the prompt tokens that wait to be read."""
        return sum(
            call.prefill_left
            for queue in self._queues.values()
            for call in queue
        )

    @property
    def tokens(self) -> int:
        """Count all tokens made so far."""
        return self._tokens

    def stall(self, stalled: bool) -> None:
        """Stop or go on stepping, as a stuck engine would."""
        self._stalled = stalled

    def take_events(self) -> tuple[int, list[tuple[int, bool]]]:
        """Take the prefix cache events since the last time."""
        events = self._events
        self._events = []
        return self._last_event, events

    def submit(self, call: Running) -> None:
        """Queue a call."""
        cached = 0
        for block in affinity.prefix_hashes(call.prompt.encode()):
            if block not in self._prefixes:
                break
            cached += affinity.BLOCK_TOKENS
        call.prefill_left = max(len(call.prompt) // 4 - cached, 1)
        self._queues[call.priority].append(call)
        self._wakeup.set()

    async def run(self) -> None:
        """Step for ever, on the loop's clock."""
        loop = asyncio.get_running_loop()
        planned = loop.time()
        while True:
            if not self._running and not self.queued:
                self._wakeup.clear()
                await self._wakeup.wait()
                planned = loop.time()
            planned += self._options.step_seconds
            await asyncio.sleep(max(planned - loop.time(), 0))
            if not self._stalled:
                self._step()

    def _step(self) -> None:
        self._admit()
        budget = self._options.prefill_tokens_per_step
        going = []
        for call in self._running:
            if call.cancelled:
                call.out.put_nowait(None)
                continue
            if call.prefill_left > 0:
                taken = min(budget, call.prefill_left)
                budget -= taken
                call.prefill_left -= taken
                if call.prefill_left == 0:
                    self._cache_prompt(call.prompt)
            if call.prefill_left == 0:
                self._emit(call)
            if call.position < call.tokens:
                going.append(call)
            else:
                call.out.put_nowait(None)
        self._running = going

    def _emit(self, call: Running) -> None:
        call.out.put_nowait(token_at(call.prompt, call.position))
        call.position += 1
        self._tokens += 1

    def _admit(self) -> None:
        for queue in self._queues.values():
            while queue and len(self._running) < self._options.slots:
                self._running.append(queue.popleft())

    def _cache_prompt(self, prompt: str) -> None:
        for block in affinity.prefix_hashes(prompt.encode()):
            self._cache(block)

    def _cache(self, prefix: int) -> None:
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            return
        self._prefixes[prefix] = None
        self._note(prefix, held=True)
        if len(self._prefixes) > self._options.cached_prefixes:
            dropped, _ = self._prefixes.popitem(last=False)
            self._note(dropped, held=False)

    def _note(self, prefix: int, held: bool) -> None:
        self._last_event = next(self._event_count)
        self._events.append((prefix, held))
