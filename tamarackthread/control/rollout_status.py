"""Report the rollout of a revision to the nodes."""

from __future__ import annotations

import asyncio
import collections.abc
import math

from tamarackthread.control import feed_source
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import subtree

MILLISECONDS = 1000
MAX_LAGGARDS = 100
_SERVING_ROLES = frozenset((messages.Role.ENTRY, messages.Role.AGENT))


def build(
    revision: int,
    latest: int,
    below: subtree.Subtree,
    origin: feed_source.ControlSource,
    led_since: float,
) -> messages.StatusReply:
    """Count the nodes that confirmed a revision and list the laggards.

    It is in force everywhere once all confirmed it or older leases expired.
    """
    now = asyncio.get_running_loop().time()
    below.expire(now)
    nodes = [
        state
        for state in below.nodes().values()
        if state.role in _SERVING_ROLES
    ]
    laggards = [state for state in nodes if state.revision < revision]
    # A new leader knows all nodes only after a full lease.
    knows_all_nodes = now >= led_since + origin.max_lease_seconds
    wait_ms = _wait_ms(origin.old_leases_end(revision) - now)
    if knows_all_nodes and not laggards:
        wait_ms = 0
    in_force = revision <= latest and not wait_ms
    return messages.StatusReply(
        revision=latest,
        nodes=len(nodes),
        in_force=len(nodes) - len(laggards),
        laggards=_most_behind(laggards),
        in_force_everywhere=in_force,
        waiting_ms=wait_ms,
    )


def _wait_ms(seconds: float) -> int:
    return max(math.ceil(seconds * MILLISECONDS), 0)


def _most_behind(
    laggards: collections.abc.Iterable[messages.NodeState],
) -> list[messages.NodeState]:
    ordered = sorted(laggards, key=lambda state: state.revision)
    return ordered[:MAX_LAGGARDS]
