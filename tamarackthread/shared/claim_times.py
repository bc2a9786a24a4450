"""Time limits of claims in milliseconds.  Each must exceed the one before:
start window, agent's time to live, claim's time to live.
"""

from __future__ import annotations

MILLISECONDS = 1000

# Longest time between a claim and the start of its call at the target.
START_WINDOW_MS = 30_000
# How long an agent keeps a claim after its window or the end of its call.
AGENT_TTL_MS = 600_000
# The same for a call without a key, which only its own entry queries.
UNKEYED_AGENT_TTL_MS = 60_000
UNKEYED_FENCE = 0
# Bounds of how long a claim is stored after its last change.
MIN_TTL_MS = 2 * AGENT_TTL_MS
DEFAULT_TTL_MS = 3 * MIN_TTL_MS
MAX_TTL_MS = 14 * 24 * 3600 * MILLISECONDS


def agent_ttl_ms(fence: int) -> int:
    """Return how long an agent keeps a claim with this fence."""
    if fence == UNKEYED_FENCE:
        return UNKEYED_AGENT_TTL_MS
    return AGENT_TTL_MS
