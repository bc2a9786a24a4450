"""Hold one caller's request as it goes through an entry."""

from __future__ import annotations

import attrs

from tamarackthread.shared.site import configuration

# A call that comes to an entry which has just started waits for what is missing,
# for at most this part of its caller's time: it is there within a second, and a
# caller that is refused has used up a try.
WAIT_SHARE = 0.3
MOST_WAIT_SECONDS = 1.5

Headers = tuple[tuple[str, str], ...]


@attrs.frozen(kw_only=True)
class CallRequest:
    """A request as it was read, before anything is decided.

    ``left`` is how long the caller will wait, in seconds, ``None`` if it did
    not say.  ``position`` is the last event of a stream that the caller has.
    """

    call_id: str
    method: str
    host: str
    path: str
    headers: Headers
    key: str = ''
    left: float | None = None
    position: str = ''


@attrs.frozen(kw_only=True)
class Call:
    """An accepted request: where it may go and until when.

    ``deadline`` is on the loop's clock and the earlier of the caller's and
    the route's.  ``organisation`` is empty where the route is open.  A lower
    ``priority`` goes first: the organisation's, where it has one, else the route's.
    """

    asked: CallRequest
    body: bytes
    route: configuration.Route
    service: str
    organisation: str
    arrived: float
    deadline: float
    priority: int = 0


def patience(left: float | None) -> float:
    """Return how long a call waits for what a start brings, in seconds.

    ``left`` is how long its caller will wait, ``None`` if it did not say.
    """
    if left is None:
        return MOST_WAIT_SECONDS
    return min(MOST_WAIT_SECONDS, WAIT_SHARE * left)
