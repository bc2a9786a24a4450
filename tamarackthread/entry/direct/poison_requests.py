"""Refuse poison requests: calls that have crashed several targets."""

from __future__ import annotations

import asyncio
import collections.abc
import hashlib
import logging

import attrs

from tamarackthread.entry.direct import (
    call_progress,
    calls,
    failures,
    instances,
    target_client,
    target_probe,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import poison_calls
from tamarackthread.shared import errors, log_events
from tamarackthread.shared.site import site_metrics

FINGERPRINT_BYTES = 16
# A retry within the time to live of the suspect would be refused again.
RETRY_AFTER_SECONDS = 30.0
_log = logging.getLogger('tamarackthread.entry')

Probe = collections.abc.Callable[[str], collections.abc.Awaitable[bool]]


@attrs.frozen(eq=False)
class _LostCall:
    call: calls.Call
    target: instances.TargetInstance
    # Events of the answer that came from the target.
    events: int


class PoisonRequests:
    """Check calls before they are sent, and track those that crash targets."""

    # A hash of request, organisation and body identifies repetitions; it is
    # computed only after a target was lost, and while there are suspects.
    def __init__(self, probe: Probe = target_probe.is_listening) -> None:
        """Start without suspects; ``probe`` tells if an address listens."""
        self._suspects = poison_calls.PoisonCalls()
        self._probe = probe
        self._probing: set[asyncio.Task[None]] = set()

    def check(self, call: calls.Call) -> None:
        """Raise ``CallCrashes`` for a call that has crashed several targets."""
        if self._verdict(call) is not poison_calls.Verdict.REFUSED:
            return
        site_metrics.CALLS_SUSPECTED.labels('refused').inc()
        self._log_suspect(call, 'refused')
        raise failures.CallCrashes(
            call.request.path, retry_after=RETRY_AFTER_SECONDS
        )

    def may_repeat(self, call: calls.Call) -> bool:
        """Tell whether this entry may retry a call."""
        return self._verdict(call) is poison_calls.Verdict.ALLOWED

    def note_failure(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        failure: errors.CodedError,
    ) -> None:
        """Record a failed try, if the target was lost before it answered."""
        # A target that had begun to answer survived running the call.
        if not isinstance(failure, target_client.Unanswered):
            return
        now = asyncio.get_running_loop().time()
        instance = f'{target.name}/{target.announcement.born}'
        self._suspects.record_loss(fingerprint(call), instance, now)
        site_metrics.CALLS_SUSPECTED.labels('lost').inc()
        self._log_suspect(call, 'lost')

    def trace_loss(
        self,
        call: calls.Call,
        target: instances.TargetInstance,
        progress: call_progress.CallProgress,
        failure: errors.CodedError,
    ) -> None:
        """Log a call whose connection was lost, and whether its target is."""
        is_unanswered = isinstance(failure, target_client.Unanswered)
        if not is_unanswered and not progress.is_cut:
            return
        lost = _LostCall(call, target, progress.relayed_events)
        probing = asyncio.get_running_loop().create_task(self._log_lost(lost))
        self._probing.add(probing)
        probing.add_done_callback(self._probing.discard)

    def note_answer(self, call: calls.Call) -> None:
        """Record that a target has answered a call."""
        if self._suspects:
            now = asyncio.get_running_loop().time()
            self._suspects.record_answer(fingerprint(call), now)

    @property
    def serial(self) -> int:
        """Return a number that grows with each change of ``own_rows``."""
        return self._suspects.serial

    def own_rows(self) -> list[messages.SiteSuspect]:
        """List the suspects that this entry reports to the others."""
        now = asyncio.get_running_loop().time()
        return [
            poison_calls.to_message(row)
            for row in self._suspects.histories(now)
        ]

    def set_shared_rows(
        self,
        rows: collections.abc.Iterable[messages.SiteSuspect],
    ) -> None:
        """Replace the suspects reported by the other entries."""
        now = asyncio.get_running_loop().time()
        self._suspects.merge(
            [poison_calls.from_message(row) for row in rows], now
        )

    async def _log_lost(self, lost: _LostCall) -> None:
        target = lost.target
        is_listening = await self._probe(target.announcement.address)
        log_events.emit(
            _log,
            log_events.Event.CALL_LOST,
            'entry: call was lost at %s after %d events, target %s',
            target.name,
            lost.events,
            'goes on' if is_listening else 'is gone',
            target=target.name,
            born=target.announcement.born,
            is_gone=not is_listening,
            is_draining=target.is_draining,
            events=lost.events,
            parts=lost.call.request.shared_parts,
            path=lost.call.request.path,
            organisation=lost.call.organisation,
        )

    def _verdict(self, call: calls.Call) -> poison_calls.Verdict:
        if not self._suspects:
            return poison_calls.Verdict.ALLOWED
        now = asyncio.get_running_loop().time()
        return self._suspects.verdict(fingerprint(call), now)

    def _log_suspect(self, call: calls.Call, verdict: str) -> None:
        mark = fingerprint(call)
        now = asyncio.get_running_loop().time()
        losses = self._suspects.crash_count(mark, now)
        log_events.emit(
            _log,
            log_events.Event.SUSPECT,
            'entry: call %s of organisation %s was %s, %d targets crashed by it',
            mark.hex(),
            call.organisation or '-',
            verdict,
            losses,
            level=logging.WARNING,
            mark=mark.hex(),
            path=call.request.path,
            organisation=call.organisation,
            verdict=verdict,
            losses=losses,
        )


def fingerprint(call: calls.Call) -> bytes:
    """Return a hash that is equal for repetitions of a call."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    fields = (call.request.method, call.request.host, call.request.path)
    for part in (*fields, call.organisation):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(call.body)
    return digest.digest()
