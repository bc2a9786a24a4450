"""Define the errors of calls that are refused before they reach a target, all
with ``NOT_RUN``.
"""

from __future__ import annotations

from tamarackthread.shared import errors


class AdmissionRefused(errors.CodedError):
    """Service has no capacity for this call before its deadline."""

    code = 'TT4001'
    status = 503


class ShareExceeded(errors.CodedError):
    """Organisation has used up its share of the service."""

    code = 'TT4002'
    status = 429


class QueueFull(errors.CodedError):
    """Queue of the service is full."""

    code = 'TT4003'
    status = 503


class NoTarget(errors.CodedError):
    """Service has no target that accepts calls."""

    code = 'TT4004'
    status = 503


class DeadlineTooClose(errors.CodedError):
    """Deadline is earlier than the expected end of the answer."""

    code = 'TT4005'
    status = 503


class EntryOverloaded(errors.CodedError):
    """Entry is overloaded and sheds calls."""

    code = 'TT4006'
    status = 503


class CallPreempted(errors.CodedError):
    """Call was preempted by an urgent call."""

    code = 'TT4007'
    status = 503
