"""Define the coded errors of calls that go to targets directly."""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


class NoConfiguration(errors.CodedError):
    """Entry has no configuration yet."""

    code = 'TT7201'
    status = 503


class RouteUnknown(errors.CodedError):
    """No route of the configuration takes this host and path."""

    code = 'TT7202'
    status = 404


class KeyUnknown(errors.CodedError):
    """Key is missing or belongs to no organisation."""

    code = 'TT7203'
    status = 401


class CallInvalid(errors.CodedError):
    """Request lacks something that every call has."""

    code = 'TT7204'
    status = 400


class NoTargetReady(errors.CodedError):
    """No target of the service takes calls now."""

    code = 'TT7205'
    status = 503


class TargetsFull(errors.CodedError):
    """Every target that was asked refused the call unrun."""

    code = 'TT7206'
    status = 503


class TargetsRest(errors.CodedError):
    """All targets of the service have asked for rest."""

    code = 'TT7215'
    status = 503


class GroupClosed(errors.CodedError):
    """Targets refuse every call unrun, since their group makes no passes."""

    code = 'TT7214'
    status = 503


class DeadlineBeforeSend(errors.CodedError):
    """Deadline passed before the call was sent to any target."""

    code = 'TT7207'
    status = 503


class DeadlinePassed(errors.CodedError):
    """Deadline passed while a target had the call."""

    code = 'TT7208'
    status = 504
    ran = messages.Ran.MAY_HAVE_RUN


class TargetFailed(errors.CodedError):
    """Target had the call and gave no answer that can be passed on."""

    code = 'TT7209'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


class NoRoomInTime(errors.CodedError):
    """Targets have no room from which an answer could be whole in time."""

    code = 'TT7212'
    status = 503


class CallCrashes(errors.CodedError):
    """Call has taken down several targets that ran it, and goes to no other."""

    code = 'TT7213'
    status = 503


class BodyOverLimit(errors.CodedError):
    """Body of the request is over the configuration's limit."""

    code = 'TT7211'
    status = 413


class EntryStops(errors.CodedError):
    """Entry is about to end and takes no new call."""

    code = 'TT7210'
    status = 503
