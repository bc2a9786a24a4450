"""Poll the target's load and report it to the entries.  The poll is also the
target's health check.
"""

from __future__ import annotations

import asyncio
import collections.abc
import logging
import math

from tamarackthread.agent import target
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import link, target_errors

FRESH_SECONDS = 1.5
REPORTS_PER_SECOND = 40
# Below the time after which a target counts as silent.
MAX_INTERVAL_SECONDS = 1.0
MAX_PREFIX_NOTES = 256
_log = logging.getLogger('tamarackthread.agent')


class Reporter:
    """Poll the target and send each report to all connected entries."""

    def __init__(
        self,
        target_id: str,
        client: target.TargetClient,
        interval_seconds: float,
    ) -> None:
        """Start without entries; ``run`` polls until it is cancelled."""
        self._target_id = target_id
        self._client = client
        self._interval_seconds = interval_seconds
        self._sequence = 0
        self._last: target.TargetReport | None = None
        self._last_at = -math.inf
        self._tokens_per_second: float = 0
        self._entries: set[link.Link] = set()
        self._leaving = False
        self._stuck_seconds: float = 0
        self._progress_at = -math.inf

    @property
    def is_fresh(self) -> bool:
        """Tell whether the last report is recent."""
        now = asyncio.get_running_loop().time()
        return now - self._last_at <= FRESH_SECONDS

    @property
    def is_stuck(self) -> bool:
        """Tell whether the target is silent, or its token count stands still
        while calls run: a hung engine may go on answering polls.
        """
        if not self.is_fresh:
            return True
        if not self._stuck_seconds:
            return False
        now = asyncio.get_running_loop().time()
        return now - self._progress_at > self._stuck_seconds

    @property
    def stuck_seconds(self) -> float:
        """Return the time without progress that counts as stuck, 0 for never."""
        return self._stuck_seconds

    @stuck_seconds.setter
    def stuck_seconds(self, seconds: float) -> None:
        self._stuck_seconds = seconds

    def add(self, entry: link.Link) -> None:
        """Add an entry and send it a report at once."""
        self._entries.add(entry)
        entry.notify(self._message(()))

    def remove(self, entry: link.Link) -> None:
        """Stop reporting to an entry."""
        self._entries.discard(entry)

    def set_leaving(self, leaving: bool) -> None:
        """Set whether reports mark the target as leaving, and send one."""
        self._leaving = leaving
        self._broadcast(())

    async def run(self) -> None:
        """Poll and report until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            notes = await self._poll()
            self._broadcast(notes)
            spent = loop.time() - started
            interval = self._interval()
            await asyncio.sleep(max(interval - spent, interval / 4))

    def _interval(self) -> float:
        """Return the interval, longer with more entries, to bound the number
        of reports a second.
        """
        shared = len(self._entries) / REPORTS_PER_SECOND
        return max(self._interval_seconds, min(shared, MAX_INTERVAL_SECONDS))

    async def _poll(self) -> collections.abc.Sequence[tuple[int, bool]]:
        loop = asyncio.get_running_loop()
        was_fresh = self.is_fresh
        try:
            report = await self._client.load()
        except target_errors.TargetSilent as exc:
            if was_fresh:
                _log.info('agent: target is silent, %s', exc)
            return ()
        now = loop.time()
        if self._last is not None and report.tokens >= self._last.tokens:
            new_tokens = report.tokens - self._last.tokens
            self._tokens_per_second = new_tokens / max(
                now - self._last_at, 1e-3
            )
        if self._made_progress(report):
            self._progress_at = now
        self._last = report
        self._last_at = now
        return report.prefixes[-MAX_PREFIX_NOTES:]

    def _made_progress(self, report: target.TargetReport) -> bool:
        if self._last is None or not report.running:
            return True
        return report.tokens != self._last.tokens

    def _broadcast(
        self, notes: collections.abc.Sequence[tuple[int, bool]]
    ) -> None:
        self._sequence += 1
        message = self._message(notes)
        for entry in tuple(self._entries):
            entry.notify(message)

    def _message(
        self,
        notes: collections.abc.Sequence[tuple[int, bool]],
    ) -> messages.Request:
        last = self._last
        now = asyncio.get_running_loop().time()
        age = 0 if last is None else now - self._last_at
        report = messages.LoadReport(
            target=self._target_id,
            sequence=self._sequence,
            age_ms=int(age * 1000),
            leaving=self._leaving,
            stuck=self.is_stuck,
            tokens_per_second=self._tokens_per_second,
            entries=len(self._entries),
            prefixes=[
                messages.PrefixNote(prefix=prefix, held=held)
                for prefix, held in notes
            ],
        )
        if last is not None:
            report.running = last.running
            report.queued = last.queued
            report.batch_slots = last.batch_slots
            report.queued_tokens = last.queued_tokens
            report.step_ms = last.step_ms
            report.prefix_sequence = last.prefix_sequence
        return messages.Request(report=report)
