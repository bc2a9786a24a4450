"""Define the coded errors of calls that an entry sends directly to targets."""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


# Another entry can take the call at once.
STOPPING_RETRY_AFTER_SECONDS = 0.01


class NoConfiguration(errors.CodedError):
    """Entry has no configuration yet."""

    code = 'TT7201'
    status = 503


class RouteUnknown(errors.CodedError):
    """No route of the configuration matches this host and path."""

    code = 'TT7202'
    status = 404


class KeyUnknown(errors.CodedError):
    """API key is missing or belongs to no organisation."""

    code = 'TT7203'
    status = 401


class CallInvalid(errors.CodedError):
    """Request lacks the header with the call id."""

    code = 'TT7204'
    status = 400


class NoTargetReady(errors.CodedError):
    """No target of the service accepts calls now."""

    code = 'TT7205'
    status = 503


class TargetsFull(errors.CodedError):
    """Every target that was tried refused the call without running it."""

    code = 'TT7206'
    status = 503


class TargetsRest(errors.CodedError):
    """All targets of the service have asked for a cooldown."""

    code = 'TT7215'
    status = 503


class GroupClosed(errors.CodedError):
    """Targets refuse every call, since their group makes no passes."""

    code = 'TT7214'
    status = 503


class DeadlineBeforeSend(errors.CodedError):
    """Deadline passed before the call was sent to any target."""

    code = 'TT7207'
    status = 503


class DeadlinePassed(errors.CodedError):
    """Deadline passed after the call was sent to a target."""

    code = 'TT7208'
    status = 504
    ran = messages.Ran.MAY_HAVE_RUN


class TargetFailed(errors.CodedError):
    """Target had the call and gave no answer that can be relayed."""

    code = 'TT7209'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


class NoRoomInTime(errors.CodedError):
    """Targets have no free slot early enough to meet the deadline."""

    code = 'TT7212'
    status = 503


class CallCrashes(errors.CodedError):
    """Call was running when several targets failed; it is sent to no other."""

    code = 'TT7213'
    status = 503


class BodyTooSlow(errors.CodedError):
    """Request body was not complete at the call's deadline."""

    code = 'TT7217'
    status = 408


class EntryStops(errors.CodedError):
    """Entry is shutting down; the call was not sent to any target."""

    code = 'TT7210'
    status = 503

    def __init__(
        self,
        text: str = '',
        retry_after: float = STOPPING_RETRY_AFTER_SECONDS,
    ) -> None:
        """Ask the caller to return at once, unless told otherwise."""
        super().__init__(text, retry_after)


class CutByStop(errors.CodedError):
    """Entry has ended while a target had the call."""

    code = 'TT7216'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN
