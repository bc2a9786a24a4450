"""Refuse poison requests: calls that have crashed several targets."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

import attrs

from tamarackthread.entry.direct import (
    call_marks,
    call_progress,
    calls,
    failures,
    instances,
    target_client,
    target_probe,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import crash_records, poison_calls
from tamarackthread.shared import errors, log_events
from tamarackthread.shared.site import site_metrics

# A retry would be refused again for as long as the evidence is kept.
RETRY_AFTER_SECONDS = 30.0
# A target that restarts at once still takes connections; its next announcement
# or the refusal of another call tells of the restart.
RESTART_SECONDS = 5.0
_log = logging.getLogger('tamarackthread.entry')

IsReplaced = collections.abc.Callable[[instances.TargetInstance], bool]
Probe = collections.abc.Callable[[str], collections.abc.Awaitable[bool]]


@attrs.frozen(eq=False)
class _LostCall:
    call: calls.Call
    target: instances.TargetInstance
    # Events of the answer that came from the target.
    events: int
    # On the loop's clock.
    lost_at: float


class PoisonRequests:
    """Check calls before they are sent, and track those that crash targets."""

    def __init__(
        self,
        name: str,
        is_replaced: IsReplaced,
        probe: Probe = target_probe.is_gone,
    ) -> None:
        """Start without crashes; ``name`` is this entry's.

        ``is_replaced`` tells if a target has restarted, and ``probe`` if
        nothing listens at an address.
        """
        self._name = name
        self._is_replaced = is_replaced
        self._poison = poison_calls.PoisonCalls()
        self._probe = probe
        self._probing: set[asyncio.Task[None]] = set()
        # Calls lost at targets that seem to go on.
        self._unconfirmed: list[_LostCall] = []
        self._blamed: poison_calls.Findings = {}

    def check(self, call: calls.Call) -> None:
        """Raise ``CallCrashes`` for a call that would crash its target."""
        now = asyncio.get_running_loop().time()
        finding = self._finding(call, now)
        if finding is None:
            return
        if finding.verdict is not poison_calls.Verdict.REFUSED:
            return
        self._poison.records.record_use(
            [crash.start for crash in finding.crashes], now
        )
        site_metrics.CALLS_SUSPECTED.labels('refused').inc()
        _log_finding(finding, 'refused', call.request.path, call.organisation)
        raise failures.CallCrashes(
            call.request.path, retry_after=RETRY_AFTER_SECONDS
        )

    def may_repeat(self, call: calls.Call) -> bool:
        """Tell whether this entry may retry a call."""
        now = asyncio.get_running_loop().time()
        return self._finding(call, now) is None

    def note_failure(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        progress: call_progress.CallProgress,
        failure: errors.CodedError,
    ) -> None:
        """Record a crash if the try's target has closed its connection."""
        is_unanswered = isinstance(failure, target_client.Unanswered)
        if not is_unanswered and not progress.is_cut:
            return
        loop = asyncio.get_running_loop()
        lost = _LostCall(call, target, progress.relayed_events, loop.time())
        probing = loop.create_task(self._examine(lost))
        self._probing.add(probing)
        probing.add_done_callback(self._probing.discard)

    def note_begun(self, call: calls.Call) -> None:
        """Record that a target has sent some of a call's answer."""
        self._note_answer(call, crash_records.Reach.BEGUN)

    def note_whole(self, call: calls.Call) -> None:
        """Record that a target has answered a call in whole."""
        self._note_answer(call, crash_records.Reach.WHOLE)

    async def is_gone(self, target: instances.TargetInstance) -> bool:
        """Tell whether a target refuses connections."""
        return await self._probe(target.announcement.address)

    @property
    def serial(self) -> int:
        """Return a number that grows with each change of ``changed_rows``."""
        return self._poison.records.serial

    def changed_rows(self, since: int = 0) -> list[messages.SiteCrash]:
        """List the crashes that have changed after version ``since``."""
        now = asyncio.get_running_loop().time()
        self._confirm(now)
        self._log_blamed(now)
        return [
            crash_records.to_message(crash)
            for crash in self._poison.records.crashes(now, since)
        ]

    def learn_rows(
        self,
        rows: collections.abc.Iterable[messages.SiteCrash],
    ) -> None:
        """Merge the crashes that other entries have seen."""
        now = asyncio.get_running_loop().time()
        for row in rows:
            self._poison.records.record(crash_records.from_message(row), now)

    async def probed(self) -> None:
        """Wait until all lost calls so far are examined."""
        await asyncio.gather(*self._probing)

    async def _examine(self, lost: _LostCall) -> None:
        """Find out whether a lost call's target has crashed."""
        # A rank breaks off its answers when another rank of its group is lost,
        # and links lose connections; such a target still listens.
        target = lost.target
        is_gone = await self.is_gone(target)
        _log_lost(lost, is_gone=is_gone)
        if target.is_draining:
            return
        if is_gone:
            self._record(lost)
            return
        self._unconfirmed.append(lost)

    def _confirm(self, now: float) -> None:
        """Record the lost calls whose targets have turned out to restart."""
        waiting = self._unconfirmed
        self._unconfirmed = []
        for lost in waiting:
            if self._is_replaced(lost.target):
                self._record(lost)
                continue
            if now - lost.lost_at < RESTART_SECONDS:
                self._unconfirmed.append(lost)

    def _record(self, lost: _LostCall) -> None:
        """Record a lost call as a suspect of its target's crash."""
        target = lost.target
        reach = crash_records.Reach.NOTHING
        if lost.events:
            reach = crash_records.Reach.BEGUN
        now = asyncio.get_running_loop().time()
        site_metrics.CALLS_SUSPECTED.labels('lost').inc()
        self._poison.records.record(
            crash_records.Crash(
                start=f'{target.name}/{target.announcement.born}',
                service=lost.call.service,
                witness=self._name,
                lost=now - lost.lost_at,
                suspects=call_marks.suspects(lost.call, reach),
            ),
            now,
        )

    def _note_answer(
        self, call: calls.Call, reach: crash_records.Reach
    ) -> None:
        records = self._poison.records
        if not records and not call.request.shared_parts:
            return
        now = asyncio.get_running_loop().time()
        marks = call_marks.of(call) if records else call_marks.of_parts(call)
        records.record_answer(call.service, marks, reach, now)

    def _finding(
        self, call: calls.Call, now: float
    ) -> poison_calls.Finding | None:
        if not self._poison.findings(now):
            return None
        return self._poison.worst(call_marks.of(call), now)

    def _log_blamed(self, now: float) -> None:
        """Log what is refused from now on, and on which evidence."""
        findings = self._poison.findings(now)
        if findings is self._blamed:
            return
        for mark, finding in findings.items():
            before = self._blamed.get(mark)
            if before is None or before.verdict is not finding.verdict:
                _log_finding(finding, finding.verdict.value)
        self._blamed = findings
        verdicts = [blamed.verdict for blamed in findings.values()]
        site_metrics.SUSPECTS.set(verdicts.count(poison_calls.Verdict.REFUSED))


def _log_lost(lost: _LostCall, *, is_gone: bool) -> None:
    target = lost.target
    log_events.emit(
        _log,
        log_events.Event.CALL_LOST,
        'entry: call was lost at %s after %d events, target %s',
        target.name,
        lost.events,
        'is gone' if is_gone else 'goes on',
        target=target.name,
        born=target.announcement.born,
        is_gone=is_gone,
        is_draining=target.is_draining,
        events=lost.events,
        parts=lost.call.request.shared_parts,
        path=lost.call.request.path,
        organisation=lost.call.organisation,
    )


def _log_finding(
    finding: poison_calls.Finding,
    verdict: str,
    path: str = '',
    organisation: str = '',
) -> None:
    """Log a suspect with its evidence; a path if one call is refused."""
    name = call_marks.describe(finding.mark)
    log_events.emit(
        _log,
        log_events.Event.SUSPECT,
        'entry: %s is %s, %d targets crashed on it',
        name,
        verdict,
        len(finding.crashes),
        level=logging.WARNING,
        mark=name,
        path=path,
        organisation=organisation,
        verdict=verdict,
        losses=len(finding.crashes),
        targets=[crash.start for crash in finding.crashes],
        witnesses=sorted({crash.witness for crash in finding.crashes}),
        first_ms_ago=_milliseconds(max(one.lost for one in finding.crashes)),
        last_ms_ago=_milliseconds(min(one.lost for one in finding.crashes)),
    )


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
