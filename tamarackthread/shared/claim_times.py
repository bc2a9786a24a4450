"""Hold the times on which the safety of claims rests, in milliseconds.

They belong together: a call may start only within its window, an agent
remembers longer than any window, and a claim is kept longer than an agent
remembers.  So whatever one of them has forgotten, the next one refuses.
"""

from __future__ import annotations

MILLISECONDS = 1000

# Longest time between the claim and the start at the target.
START_WINDOW_MS = 30_000
# How long an agent remembers a claim after its window or its end.
AGENT_TTL_MS = 600_000
# The same for a call without a key, which only its own entry asks about.
UNKEYED_AGENT_TTL_MS = 60_000
UNKEYED_FENCE = 0
# How long a claim is kept after its last change, at least and at most.
MIN_TTL_MS = 2 * AGENT_TTL_MS
DEFAULT_TTL_MS = 3 * MIN_TTL_MS
MAX_TTL_MS = 14 * 24 * 3600 * MILLISECONDS


def agent_ttl_ms(fence: int) -> int:
    """Give how long an agent remembers a claim with this fence."""
    if fence == UNKEYED_FENCE:
        return UNKEYED_AGENT_TTL_MS
    return AGENT_TTL_MS
