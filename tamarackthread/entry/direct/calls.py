"""Define a caller's request and the call that an entry makes of it."""

from __future__ import annotations

import attrs

from tamarackthread.shared import connection_table
from tamarackthread.shared.site import configuration

# A call to an entry that has just started waits for its configuration and
# targets: they arrive within a second, and a refusal costs a retry.
MAX_WAIT_SHARE = 0.3
MAX_WAIT_SECONDS = 1.5

Headers = tuple[tuple[str, str], ...]


@attrs.frozen(kw_only=True)
class CallRequest:
    """A parsed request, before it is routed."""

    call_id: str
    method: str
    host: str
    path: str
    headers: Headers
    key: str = ''
    # Remaining timeout of the caller in seconds, ``None`` if not given.
    time_left: float | None = None
    # Last event of a stream that the caller has received.
    last_event_id: str = ''
    # Whether the caller sets a condition that the intended target may not meet.
    has_condition: bool = False
    # Ids of the prompt's parts, in order, that other prompts may contain too.
    shared_parts: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Call:
    """A routed request; a lower ``priority`` goes first."""

    request: CallRequest
    body: bytes
    route: configuration.Route
    service: str
    # Empty on open routes.
    organisation: str
    # On the event loop's clock, as is the deadline.
    arrived_at: float
    deadline: float
    priority: int = 0
    # What its caller's connection makes this entry hold; ``None`` without one.
    connection: connection_table.Connection | None = attrs.field(
        default=None, eq=False, repr=False
    )


def startup_wait(time_left: float | None) -> float:
    """Return how many seconds a call waits for a starting entry."""
    if time_left is None:
        return MAX_WAIT_SECONDS
    return min(MAX_WAIT_SECONDS, MAX_WAIT_SHARE * time_left)
