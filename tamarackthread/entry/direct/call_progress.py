"""Keep how far a call has come over all its tries."""

from __future__ import annotations

import asyncio
import logging

import attrs

from tamarackthread.entry.direct import calls, instances
from tamarackthread.shared import errors, log_events
from tamarackthread.shared.site import figures

_log = logging.getLogger('tamarackthread.entry')


@attrs.define(eq=False)
class CallProgress:
    """How far a call has come over all its tries.

    ``sent`` names the targets that may have run the call, ``refused`` those that
    said that they have not, ``skipped`` those that could not be reached, and
    ``may_have_run`` tells whether any might have run it.
    ``position`` is the last event that the caller was sent, ``is_unnumbered``
    whether it was sent any that can't be told from its copy, and ``trying``
    the target that may have the call at this moment.  ``left`` names the
    groups whose targets have failed the call.
    """

    sent: list[str] = attrs.field(factory=list)
    refused: list[str] = attrs.field(factory=list)
    skipped: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    trying: instances.TargetInstance | None = None
    is_unnumbered: bool = False
    position: int = -1
    failure: errors.CodedError | None = None
    left: set[str] = attrs.field(factory=set)

    @property
    def tried(self) -> set[str]:
        """Name the targets that get the call no more."""
        return self.skipped.union(self.sent, self.refused)

    @property
    def names(self) -> str:
        """Name the targets that may have run the call, for people."""
        return ', '.join(self.sent)


def tell(
    call: calls.Call,
    target: instances.TargetInstance,
    progress: CallProgress,
    failure: errors.CodedError,
) -> None:
    """Log and count a try that gave no whole answer."""
    now = asyncio.get_running_loop().time()
    figures.TRIES_FAILED.labels(call.service, failure.code).inc()
    log_events.tell(
        _log,
        log_events.Event.TRY_FAILED,
        'entry: try at %s failed, %s %s',
        target.name,
        failure.code,
        failure,
        target=target.name,
        service=call.service,
        code=failure.code,
        after_ms=_milliseconds(now - call.arrived),
        left_ms=_milliseconds(call.deadline - now),
        own_calls=target.own,
        other_calls=target.others,
        state=target.said.state.name.lower(),
        heard_ms_ago=_milliseconds(now - target.heard_at),
        asked_rest_ms=_milliseconds(target.asked.rest),
        is_leaving=target.asked.is_leaving,
        paused_ms=_milliseconds(max(0, target.paused_until - now)),
        may_have_run=progress.may_have_run,
        last_event=progress.position,
    )


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
