"""Define the coded errors that an entry returns to callers."""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


class CredentialUnknown(errors.CodedError):
    """Credential is missing or belongs to no organisation."""

    code = 'TT7001'
    status = 401


class ServiceUnknown(errors.CodedError):
    """No service matches this host, path and model."""

    code = 'TT7002'
    status = 404


class BodyTooLarge(errors.CodedError):
    """Body of the request exceeds the limit."""

    code = 'TT7003'
    status = 413


class BodyTooSlow(errors.CodedError):
    """Body of the request did not arrive in time."""

    code = 'TT7004'
    status = 408


class BodyInvalid(errors.CodedError):
    """Body of the request is not the JSON object that this path requires."""

    code = 'TT7005'
    status = 400


class HeaderInvalid(errors.CodedError):
    """Header of the request has an invalid value."""

    code = 'TT7006'
    status = 400


class ConfigurationLapsed(errors.CodedError):
    """Entry cannot confirm that its configuration is the current one."""

    code = 'TT7007'
    status = 503


class EntryLeaving(errors.CodedError):
    """Entry is stopping and accepts no new call."""

    code = 'TT7008'
    status = 503


class DeadlineExceeded(errors.CodedError):
    """Deadline passed before the response was complete."""

    code = 'TT7009'
    status = 504
    ran = messages.Ran.MAY_HAVE_RUN


class DeadlineBeforeStart(errors.CodedError):
    """Deadline passed before the call was sent to a target."""

    code = 'TT7010'
    status = 504


class AnswerMismatched(errors.CodedError):
    """Response carried another call's id and was discarded."""

    code = 'TT7011'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


class ConnectionSilent(errors.CodedError):
    """Connection to the target is down or has no recent heartbeat."""

    code = 'TT7012'
    status = 503


class CallerTooSlow(errors.CodedError):
    """Caller did not read its response in time."""

    code = 'TT7013'
    status = 408
    ran = messages.Ran.MAY_HAVE_RUN


class ConnectionsFull(errors.CodedError):
    """Entry has reached its limit of open calls."""

    code = 'TT7014'
    status = 503


class EntryFault(errors.CodedError):
    """Entry failed with an internal error during the call."""

    code = 'TT7017'
    status = 500
    ran = messages.Ran.MAY_HAVE_RUN


class CallerGone(errors.CodedError):
    """Caller closed its connection before the response was complete."""

    code = 'TT7018'
    status = 499
    ran = messages.Ran.MAY_HAVE_RUN
