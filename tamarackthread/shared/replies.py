"""Convert coded errors to failure replies and back."""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


def failure_reply(failure: errors.CodedError) -> messages.Reply:
    """Build the reply for a coded error."""
    leader = getattr(failure, 'leader', None)
    # The text may quote what another writer sent.
    text = str(failure).encode(errors='backslashreplace').decode()
    return messages.Reply(
        failure=messages.Failure(
            code=failure.code,
            text=text,
            leader=leader,
        ),
    )


def raise_failure(failure: messages.Failure) -> None:
    """Raise a failure as its error class, or ``PeerFailure`` if unknown."""
    error_class = errors.by_code(failure.code or '')
    error: errors.CodedError
    if error_class is None:
        error = errors.PeerFailure(f'{failure.code} {failure.text}')
    else:
        error = error_class(failure.text or '')
    if failure.leader:
        error.leader = failure.leader  # type: ignore[attr-defined]
    raise error
