"""Say what is known about a call's execution after a failure.

The rule is one sentence: a call is 'not run' only if its bytes never left or
the agent itself said so.  The name of the error doesn't matter.
"""

from __future__ import annotations

import enum

import attrs

from tamarackthread.generated.messages import ttypes as messages


class CallStage(enum.IntEnum):
    """Order the points of a call's way, as its entry sees it."""

    QUEUED = 0
    CLAIMED = 1
    CONNECTING = 2
    BYTES_SENT = 3
    ACCEPTED = 4
    HEAD_RECEIVED = 5
    BODY_RECEIVED = 6
    END_RECEIVED = 7


class Cause(enum.Enum):
    """Name what ended the call."""

    REFUSED_HERE = 'refused here'
    AGENT_REPORTED = 'agent said'
    LINK_LOST = 'link lost'
    TIMEOUT = 'timeout'
    CALLER_DISCONNECTED = 'caller gone'
    CANCELLED = 'cancelled'
    WRONG_IDENTITY = 'wrong identity'
    DECODE_FAILED = 'decode failed'


@attrs.frozen(slots=True, kw_only=True)
class Ending:
    """How a call ended at its entry.

    ``reported`` is what the agent's ``CallEnd`` says, or ``None`` without one.
    ``is_whole`` tells whether all events that it counts have arrived.
    """

    stage: CallStage
    cause: Cause
    reported: messages.Ran | None = None
    is_whole: bool = False


def classify(ending: Ending) -> messages.Ran:
    """Return what the caller may be told for certain."""
    if ending.stage < CallStage.BYTES_SENT:
        return messages.Ran.NOT_RUN
    if ending.cause != Cause.AGENT_REPORTED or ending.reported is None:
        return messages.Ran.MAY_HAVE_RUN
    if ending.reported == messages.Ran.NOT_RUN:
        return _checked_refusal(ending.stage)
    if ending.reported == messages.Ran.COMPLETE and ending.is_whole:
        return messages.Ran.COMPLETE
    return messages.Ran.MAY_HAVE_RUN


def may_repeat(ran: messages.Ran, idempotent: bool) -> bool:
    """Tell whether running the call again can do no harm."""
    if ran == messages.Ran.NOT_RUN:
        return True
    return idempotent and ran == messages.Ran.MAY_HAVE_RUN


def _checked_refusal(stage: CallStage) -> messages.Ran:
    """Believe 'not run' only while no part of an answer was seen.

    A frame of another call, or an agent's fault, could claim it after the
    target has begun to answer; a retry would then run the call twice.
    """
    if stage >= CallStage.HEAD_RECEIVED:
        return messages.Ran.MAY_HAVE_RUN
    return messages.Ran.NOT_RUN
