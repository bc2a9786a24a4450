"""Define the coded refusals of the request path.

All of them say ``NOT_RUN``: they are decided before a call is handed over.
"""

from __future__ import annotations

from tamarackthread.shared import errors


class AdmissionRefused(errors.CodedError):
    """Service has no room for this call before its deadline."""

    code = 'TT4001'
    status = 503


class ShareExceeded(errors.CodedError):
    """Organisation has used up its share of the service."""

    code = 'TT4002'
    status = 429


class QueueFull(errors.CodedError):
    """Queue in front of the service is full."""

    code = 'TT4003'
    status = 503


class NoTarget(errors.CodedError):
    """Service has no target that takes calls."""

    code = 'TT4004'
    status = 503


class DeadlineTooClose(errors.CodedError):
    """Deadline leaves less time than an answer takes."""

    code = 'TT4005'
    status = 503


class EntryOverloaded(errors.CodedError):
    """Entry has more to do than it can answer in time."""

    code = 'TT4006'
    status = 503


class CallPreempted(errors.CodedError):
    """Drafting work gave way to an urgent call before it was handed over."""

    code = 'TT4007'
    status = 503
