"""Keep calls that crash targets from the targets, by what entries have seen."""

from __future__ import annotations

import asyncio
import collections.abc
import hashlib
import logging

from tamarackthread.entry.direct import calls, failures, sending, starts
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import poison_calls
from tamarackthread.shared import errors, log_events
from tamarackthread.shared.site import figures

MARK_BYTES = 16
# A call that is refused is not tried before what is known of it is forgotten.
RETRY_AFTER_SECONDS = 30.0
_log = logging.getLogger('tamarackthread.entry')


class Crashing:
    """Look at calls before they are sent, and at how their tries end.

    A call is known by what makes it the same: a hash of its path, its caller and
    its body.  It is worked out for calls whose target was lost, and for others
    only while such calls are known.
    """

    def __init__(self) -> None:
        """Begin without suspects."""
        self._known = poison_calls.PoisonCalls()

    def check(self, call: calls.Call) -> None:
        """Raise ``CallCrashes`` for a call that has crashed several targets."""
        if self._verdict(call) is not poison_calls.Verdict.REFUSED:
            return
        figures.CALLS_SUSPECTED.labels('refused').inc()
        self._tell(call, 'refused')
        raise failures.CallCrashes(
            call.asked.path, retry_after=RETRY_AFTER_SECONDS
        )

    def may_repeat(self, call: calls.Call) -> bool:
        """Tell whether this entry may try a call once more by itself."""
        return self._verdict(call) is poison_calls.Verdict.ALLOWED

    def failed(
        self,
        call: calls.Call,
        target: starts.Start,
        failure: errors.CodedError,
    ) -> None:
        """Note how a try has failed.

        Only a target that was lost before it answered tells against the call: a
        stream that breaks off later was run by one that bore it.
        """
        if not isinstance(failure, sending.Unanswered):
            return
        now = asyncio.get_running_loop().time()
        start = f'{target.name}/{target.said.born}'
        self._known.record_crash(mark_of(call), start, now)
        figures.CALLS_SUSPECTED.labels('lost').inc()
        self._tell(call, 'lost')

    def answered(self, call: calls.Call) -> None:
        """Note that a target has answered a call."""
        if self._known:
            now = asyncio.get_running_loop().time()
            self._known.record_answer(mark_of(call), now)

    @property
    def serial(self) -> int:
        """Return a number that grows with each change of ``own``."""
        return self._known.serial

    def own(self) -> list[messages.SiteSuspect]:
        """List what other entries have to know."""
        now = asyncio.get_running_loop().time()
        return [
            poison_calls.to_message(row) for row in self._known.histories(now)
        ]

    def share(
        self,
        rows: collections.abc.Iterable[messages.SiteSuspect],
    ) -> None:
        """Take what all other entries know."""
        now = asyncio.get_running_loop().time()
        self._known.merge([poison_calls.from_message(row) for row in rows], now)

    def _verdict(self, call: calls.Call) -> poison_calls.Verdict:
        if not self._known:
            return poison_calls.Verdict.ALLOWED
        now = asyncio.get_running_loop().time()
        return self._known.verdict(mark_of(call), now)

    def _tell(self, call: calls.Call, verdict: str) -> None:
        mark = mark_of(call)
        now = asyncio.get_running_loop().time()
        losses = self._known.crash_count(mark, now)
        log_events.tell(
            _log,
            log_events.Event.SUSPECT,
            'entry: call %s of organisation %s was %s, %d targets lost by it',
            mark.hex(),
            call.organisation or '-',
            verdict,
            losses,
            level=logging.WARNING,
            mark=mark.hex(),
            path=call.asked.path,
            organisation=call.organisation,
            verdict=verdict,
            losses=losses,
        )


def mark_of(call: calls.Call) -> bytes:
    """Return what is the same of calls that are the same."""
    digest = hashlib.blake2b(digest_size=MARK_BYTES)
    head = (call.asked.method, call.asked.host, call.asked.path)
    for part in (*head, call.organisation):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(call.body)
    return digest.digest()
