"""Carry coded errors over a link as failure replies."""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


def failure_reply(failure: errors.CodedError) -> messages.Reply:
    """Put a coded error into a reply."""
    leader = getattr(failure, 'leader', None)
    return messages.Reply(
        failure=messages.Failure(
            code=failure.code,
            text=str(failure),
            leader=leader,
        ),
    )


def raise_failure(failure: messages.Failure) -> None:
    """Raise a peer's failure under its own class where we know it."""
    kind = errors.by_code(failure.code or '')
    raised: errors.CodedError
    if kind is None:
        raised = errors.PeerFailure(f'{failure.code} {failure.text}')
    else:
        raised = kind(failure.text or '')
    if failure.leader:
        raised.leader = failure.leader  # type: ignore[attr-defined]
    raise raised
