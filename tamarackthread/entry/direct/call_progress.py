"""Track the progress of a call over all its tries."""

from __future__ import annotations

import asyncio
import logging

import attrs

from tamarackthread.entry.direct import calls, instances
from tamarackthread.shared import errors, events, log_events, response_body
from tamarackthread.shared.site import site_metrics

# A stream without a length or chunks ends early by a regular close too.
_EARLY_ENDINGS = frozenset(
    (
        response_body.Ending.CLOSED,
        response_body.Ending.RESET,
        response_body.Ending.CUT,
    )
)
_log = logging.getLogger('tamarackthread.entry')


@attrs.define(eq=False)
class CallProgress:
    """The progress of a call over all its tries."""

    # Targets that may have run the call.
    sent: list[str] = attrs.field(factory=list)
    # Targets that refused the call without running it.
    refused: list[str] = attrs.field(factory=list)
    # Targets that could not be reached.
    unreachable: set[str] = attrs.field(factory=set)
    # Whether another target has answered at the address of the intended one.
    was_elsewhere: bool = False
    may_have_run: bool = False
    # The target that may be running the call now.
    current_target: instances.TargetInstance | None = None
    # Whether the caller got events without an id, which can't be resumed from.
    is_unnumbered: bool = False
    # Number of the last event that the caller was sent.
    last_event: int = -1
    failure: errors.CodedError | None = None
    # Groups whose targets have failed the call.
    failed_groups: set[str] = attrs.field(factory=set)
    # What the newest target has sent; None before the head of its answer.
    body: response_body.BodyTrace | None = None
    # Events of the newest target's answer that the caller was sent.
    relayed_events: int = 0
    # Bytes of the newest target's answer after its last complete event.
    partial_event_bytes: int = 0
    # Whether the newest target's answer has begun an event.
    has_begun_event: bool = False
    # Whether an earlier target has begun an event that no one has sent since.
    is_event_due: bool = False

    @property
    def is_cut(self) -> bool:
        """Tell whether the newest target's connection ended too early."""
        return self.body is not None and self.body.ending in _EARLY_ENDINGS

    @property
    def tried(self) -> set[str]:
        """Return the names of the targets that are not tried again."""
        return self.unreachable.union(self.sent, self.refused)

    @property
    def has_arrived(self) -> bool:
        """Tell whether a target got the call; another try is a repeat then."""
        return bool(self.sent or self.refused or self.was_elsewhere)

    @property
    def names(self) -> str:
        """Return the targets that may have run the call, as text."""
        return ', '.join(self.sent)

    def begin_try(self, target: instances.TargetInstance) -> None:
        """Record that the call goes to another target."""
        self.current_target = target
        self.body = None
        self.relayed_events = 0
        self.partial_event_bytes = 0
        self.is_event_due |= self.has_begun_event
        self.has_begun_event = False

    def note_rest(self, splitter: events.EventSplitter) -> None:
        """Record what a target has sent after its last complete event."""
        self.partial_event_bytes = splitter.rest_size
        self.has_begun_event = splitter.has_begun_event

    def drop_repeated(self, blocks: list[events.Block]) -> list[events.Block]:
        """Record the events of a stream; return the blocks to pass on."""
        fresh = []
        for block in blocks:
            if 0 <= block.number <= self.last_event:
                continue
            self.last_event = max(self.last_event, block.number)
            self.is_event_due &= not block.is_event
            self.is_unnumbered |= block.is_event and block.number < 0
            fresh.append(block)
        return fresh

    def answer_fields(self) -> dict[str, object]:
        """Return the log fields that tell what came of the newest answer."""
        if self.body is None:
            return {}
        return {
            'framing': self.body.framing.value,
            'ending': self.body.ending.value,
            'body_bytes': self.body.received_bytes,
            'events': self.relayed_events,
            'partial_event_bytes': self.partial_event_bytes,
        }


def log_failed_try(
    call: calls.Call,
    target: instances.TargetInstance,
    progress: CallProgress,
    failure: errors.CodedError,
) -> None:
    """Log and count a try that gave no complete answer."""
    now = asyncio.get_running_loop().time()
    site_metrics.TRIES_FAILED.labels(call.service, failure.code).inc()
    log_events.emit(
        _log,
        log_events.Event.TRY_FAILED,
        'entry: try at %s failed, %s %s',
        target.name,
        failure.code,
        failure,
        target=target.name,
        service=call.service,
        code=failure.code,
        after_ms=_milliseconds(now - call.arrived_at),
        left_ms=_milliseconds(call.deadline - now),
        own_calls=target.own_calls,
        other_calls=target.other_calls,
        state=target.announcement.state.name.lower(),
        heard_ms_ago=_milliseconds(now - target.announced_at),
        asked_rest_ms=_milliseconds(target.last_backpressure.cooldown),
        is_leaving=target.last_backpressure.is_leaving,
        paused_ms=_milliseconds(max(0, target.backoff_until - now)),
        may_have_run=progress.may_have_run,
        last_event=progress.last_event,
        parts=call.request.shared_parts,
        **progress.answer_fields(),
    )


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
