"""Sum the calls of all entries at each target."""

from __future__ import annotations

import asyncio

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import crash_records

# Time after which a silent entry's calls are dropped.  An entry that was killed has
# closed its connections, which cancels its calls.
ENTRY_TIMEOUT_SECONDS = 1.5


@attrs.frozen
class CallTotals:
    """Calls at a target, and those that ended there recently."""

    calls: int = 0
    answered: int = 0
    failed: int = 0

    def with_change(self, before: CallTotals, after: CallTotals) -> CallTotals:
        """Return the totals with one entry's part replaced."""
        return CallTotals(
            self.calls + after.calls - before.calls,
            self.answered + after.answered - before.answered,
            self.failed + after.failed - before.failed,
        )


@attrs.define(eq=False)
class _EntryReport:
    """Last report of one entry."""

    rows: dict[str, CallTotals]
    received_at: float


_NO_CALLS = CallTotals()


class Loads:
    """Sum the calls of all entries and send each entry the changes.

    Crashes of targets go round in the same way.

    Without the totals an entry sees only its own calls, and would send more to
    targets that other entries have filled.
    """

    def __init__(self, epoch: int) -> None:
        """Start without calls; ``epoch`` names this start of the host."""
        self._epoch = epoch
        self._reports: dict[str, _EntryReport] = {}
        self._totals: dict[str, CallTotals] = {}
        self._changed_at: dict[str, int] = {}
        self._serial = 0
        self._crashes = crash_records.CrashRecords()

    def answer(
        self,
        entry: str,
        request: messages.SiteLoadRequest,
    ) -> messages.SiteLoadReply:
        """Record an entry's calls; return changed totals, which include them."""
        now = asyncio.get_running_loop().time()
        rows = {
            row.id: CallTotals(row.calls, row.answered or 0, row.failed or 0)
            for row in request.own
        }
        self._set_rows(entry, rows, now)
        for row in request.crashes or ():
            self._crashes.record(crash_records.from_message(row), now)
        self._drop_silent(now)
        is_known = request.epoch == self._epoch
        known_serial = request.serial if is_known else 0
        known_crashes = (request.crashes_serial or 0) if is_known else 0
        return messages.SiteLoadReply(
            epoch=self._epoch,
            serial=self._serial,
            changed=[
                _message(target, self._totals[target])
                for target, serial in self._changed_at.items()
                if serial > known_serial
            ],
            crashes=[
                crash_records.to_message(crash)
                for crash in self._crashes.crashes(now, known_crashes)
            ],
            crashes_serial=self._crashes.serial,
            entries=len(self._reports),
        )

    def _set_rows(
        self, entry: str, rows: dict[str, CallTotals], now: float
    ) -> None:
        last_report = self._reports.get(entry)
        before = {} if last_report is None else last_report.rows
        if last_report is None:
            self._reports[entry] = _EntryReport(rows, now)
        else:
            last_report.rows = rows
            last_report.received_at = now
        for target in before.keys() | rows.keys():
            old = before.get(target, _NO_CALLS)
            new = rows.get(target, _NO_CALLS)
            if old == new:
                continue
            self._serial += 1
            totals = self._totals.get(target, _NO_CALLS)
            self._totals[target] = totals.with_change(old, new)
            self._changed_at[target] = self._serial

    def _drop_silent(self, now: float) -> None:
        for entry, report in tuple(self._reports.items()):
            if now - report.received_at > ENTRY_TIMEOUT_SECONDS:
                self._set_rows(entry, {}, now)
                self._reports.pop(entry)


def _message(target: str, totals: CallTotals) -> messages.SiteCalls:
    return messages.SiteCalls(
        id=target,
        calls=totals.calls,
        answered=totals.answered,
        failed=totals.failed,
    )
