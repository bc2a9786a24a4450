"""Define the coded errors that an entry gives to callers."""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


class CredentialUnknown(errors.CodedError):
    """Credential is missing or belongs to no organisation."""

    code = 'TT7001'
    status = 401


class ServiceUnknown(errors.CodedError):
    """No service takes this host, path and model."""

    code = 'TT7002'
    status = 404


class BodyTooLarge(errors.CodedError):
    """Body of the request is over the limit."""

    code = 'TT7003'
    status = 413


class BodyTooSlow(errors.CodedError):
    """Body of the request did not arrive in time."""

    code = 'TT7004'
    status = 408


class BodyInvalid(errors.CodedError):
    """Body of the request is not the JSON that this path needs."""

    code = 'TT7005'
    status = 400


class HeaderInvalid(errors.CodedError):
    """Header of the request has a value that makes no sense."""

    code = 'TT7006'
    status = 400


class ConfigurationLapsed(errors.CodedError):
    """Entry cannot confirm that its configuration is the current one."""

    code = 'TT7007'
    status = 503


class EntryLeaving(errors.CodedError):
    """Entry is stopping and takes no new call."""

    code = 'TT7008'
    status = 503


class DeadlineExceeded(errors.CodedError):
    """Deadline passed before the answer was whole."""

    code = 'TT7009'
    status = 504
    ran = messages.Ran.MAY_HAVE_RUN


class DeadlineBeforeStart(errors.CodedError):
    """Deadline passed before the call was handed over."""

    code = 'TT7010'
    status = 504


class AnswerMismatched(errors.CodedError):
    """Answer carried the identity of another call and was thrown away."""

    code = 'TT7011'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


class ConnectionSilent(errors.CodedError):
    """No connection to the target answered its heartbeat a moment ago."""

    code = 'TT7012'
    status = 503


class CallerTooSlow(errors.CodedError):
    """Caller left its answer unread for too long."""

    code = 'TT7013'
    status = 408
    ran = messages.Ran.MAY_HAVE_RUN


class ConnectionsFull(errors.CodedError):
    """Entry holds as many calls as it may."""

    code = 'TT7014'
    status = 503


class EntryFault(errors.CodedError):
    """Entry met a fault of its own while it held the call."""

    code = 'TT7017'
    status = 500
    ran = messages.Ran.MAY_HAVE_RUN


class CallerGone(errors.CodedError):
    """Caller closed its connection before the answer was whole."""

    code = 'TT7018'
    status = 499
    ran = messages.Ran.MAY_HAVE_RUN
