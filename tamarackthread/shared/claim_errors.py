"""Define the coded errors of claims, for callers, entries and agents.

``ran`` speaks of the keyed request as a whole and not only of the try that
failed, because a second try may be refused while the first one has run.
"""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


class ClaimsFull(errors.CodedError):
    """No room is left for claims; nothing is forgotten early to make some."""

    code = 'TT4500'
    status = 503


class ClaimsUnavailable(errors.CodedError):
    """Claim's shard can't be asked, so an earlier try may have run."""

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
    """Claim was sealed, or the call or a newer one with its key came before.

    This call was not started, but another with the same key may have been:
    the entry waits for that one's outcome.
    """

    code = 'TT4510'
    status = 409
    ran = messages.Ran.MAY_HAVE_RUN


class HandoverExpired(errors.CodedError):
    """Claimed call came after the time in which it might start."""

    code = 'TT4511'
    status = 503


class HandoverMismatch(errors.CodedError):
    """Claimed call was meant for another process than this one."""

    code = 'TT4512'
    status = 503


class GateFull(errors.CodedError):
    """Agent has no room to remember another claimed call."""

    code = 'TT4513'
    status = 503
