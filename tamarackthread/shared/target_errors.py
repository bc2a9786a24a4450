"""Errors that agents report of their targets, and on which entries decide."""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


class TargetLeaving(errors.CodedError):
    """Target is leaving and takes no new call."""

    code = 'TT6001'
    status = 503


class TargetSilent(errors.CodedError):
    """Target did not answer its last heartbeat."""

    code = 'TT6002'
    status = 503


class TargetUnreachable(errors.CodedError):
    """No connection to the target could be made."""

    code = 'TT6003'
    status = 503


class TargetBroke(errors.CodedError):
    """Target stopped answering after the call was handed to it."""

    code = 'TT6004'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


class DeadlinePassed(errors.CodedError):
    """Deadline passed before the call was handed to the target."""

    code = 'TT6005'
    status = 504


class WrongTarget(errors.CodedError):
    """Call was sent to the agent of another target."""

    code = 'TT6006'
    status = 503


class TargetFull(errors.CodedError):
    """Target has reached its concurrency limit."""

    code = 'TT6007'
    status = 503


class BodyIncomplete(errors.CodedError):
    """Request body ended early."""

    code = 'TT6008'
    status = 400


class CallCancelled(errors.CodedError):
    """Caller or entry gave up on the call while it ran."""

    code = 'TT6009'
    status = 499
    ran = messages.Ran.MAY_HAVE_RUN
