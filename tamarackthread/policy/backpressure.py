"""Hold what a target asks of this entry in its answers."""

from __future__ import annotations

import math

import attrs

# A target that asks for more rest is asked again after an hour.
MOST_REST_SECONDS = 3600.0


@attrs.frozen(kw_only=True)
class Backpressure:
    """What one answer of a target asks for.

    ``is_leaving``: no new calls from now on.  ``rest``: no calls for so many
    seconds, 0 for none.
    """

    is_leaving: bool = False
    rest: float = 0


NONE = Backpressure()


def seconds(text: str) -> float:
    """Read a time to rest, at most an hour; 0 for what makes no sense.

    A date counts as none: the time of day differs from host to host.
    """
    try:
        found = float(text)
    except ValueError:
        return 0
    if not math.isfinite(found):
        return 0
    return min(MOST_REST_SECONDS, max(0, found))
