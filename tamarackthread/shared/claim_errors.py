"""Coded errors of claims; ``ran`` covers all tries of the keyed request."""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


class ClaimsFull(errors.CodedError):
    """Claim table is full; no claim is evicted before it expires."""

    code = 'TT4500'
    status = 503


class ClaimsUnavailable(errors.CodedError):
    """Claim's shard is unreachable, so an earlier try may have run."""

    code = 'TT4501'
    status = 503
    ran = messages.Ran.MAY_HAVE_RUN


class ClaimKeyReused(errors.CodedError):
    """Idempotency key was used for another request; this one was not run."""

    code = 'TT4502'
    status = 422


class ClaimMayHaveRun(errors.CodedError):
    """An earlier try with this key may have run; it is not run again."""

    code = 'TT4503'
    status = 409
    ran = messages.Ran.MAY_HAVE_RUN


class ClaimStillRunning(errors.CodedError):
    """An earlier try with this key still runs."""

    code = 'TT4504'
    status = 409
    ran = messages.Ran.MAY_HAVE_RUN


class ClaimAnswerNotKept(errors.CodedError):
    """An earlier try with this key is complete; its answer was too large."""

    code = 'TT4505'
    status = 409
    ran = messages.Ran.COMPLETE


class ClaimInvalid(errors.CodedError):
    """Claim can't be recorded as asked."""

    code = 'TT4506'
    status = 400


class ShardUnknown(errors.CodedError):
    """No shard of claims serves this organisation here."""

    code = 'TT4507'
    status = 503


class ClaimFenced(errors.CodedError):
    """Claim was sealed or superseded; another call with its key may have run."""

    code = 'TT4510'
    status = 409
    ran = messages.Ran.MAY_HAVE_RUN


class HandoverExpired(errors.CodedError):
    """Claimed call arrived after its start window."""

    code = 'TT4511'
    status = 503


class HandoverMismatch(errors.CodedError):
    """Claimed call was addressed to another process."""

    code = 'TT4512'
    status = 503


class GateFull(errors.CodedError):
    """Agent's table of claimed calls is full."""

    code = 'TT4513'
    status = 503
