"""Classify what is known about a call's execution after a failure: it is 'not
run' only if it was never sent or its agent reported so.
"""

from __future__ import annotations

import enum

import attrs

from tamarackthread.generated.messages import ttypes as messages


class CallStage(enum.IntEnum):
    """Order the stages of a call at its entry."""

    QUEUED = 0
    CLAIMED = 1
    CONNECTING = 2
    BYTES_SENT = 3
    ACCEPTED = 4
    HEAD_RECEIVED = 5
    BODY_RECEIVED = 6
    END_RECEIVED = 7


class Cause(enum.Enum):
    """Name the cause of a call's end."""

    REFUSED_BY_ENTRY = 'refused here'
    AGENT_REPORTED = 'agent said'
    LINK_LOST = 'link lost'
    TIMEOUT = 'timeout'
    CALLER_DISCONNECTED = 'caller gone'
    CANCELLED = 'cancelled'
    WRONG_IDENTITY = 'wrong identity'
    DECODE_FAILED = 'decode failed'


@attrs.frozen(slots=True, kw_only=True)
class Ending:
    """How a call ended at its entry."""

    stage: CallStage
    cause: Cause
    # From the agent's ``CallEnd``, if one has arrived.
    reported: messages.Ran | None = None
    # Whether all events that the ``CallEnd`` counts have arrived.
    has_all_events: bool = False


def classify(ending: Ending) -> messages.Ran:
    """Return what is certain about the call's execution."""
    if ending.stage < CallStage.BYTES_SENT:
        return messages.Ran.NOT_RUN
    if ending.cause != Cause.AGENT_REPORTED or ending.reported is None:
        return messages.Ran.MAY_HAVE_RUN
    if ending.reported == messages.Ran.NOT_RUN:
        return _checked_refusal(ending.stage)
    if ending.reported == messages.Ran.COMPLETE and ending.has_all_events:
        return messages.Ran.COMPLETE
    return messages.Ran.MAY_HAVE_RUN


def may_repeat(ran: messages.Ran, idempotent: bool) -> bool:
    """Tell whether the call is safe to run again."""
    if ran == messages.Ran.NOT_RUN:
        return True
    return idempotent and ran == messages.Ran.MAY_HAVE_RUN


def _checked_refusal(stage: CallStage) -> messages.Ran:
    """Accept 'not run' only before any part of an answer has arrived."""
    # Later it can only be an error, and a retry would run the call twice.
    if stage >= CallStage.HEAD_RECEIVED:
        return messages.Ran.MAY_HAVE_RUN
    return messages.Ran.NOT_RUN
