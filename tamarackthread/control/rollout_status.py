"""Tell how far a revision has come."""

from __future__ import annotations

import asyncio
import collections.abc
import math

from tamarackthread.control import feed_source
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import subtree

MILLISECONDS = 1000
LAGGARDS_LIMIT = 100
_TAKING_WORK = frozenset((messages.Role.ENTRY, messages.Role.AGENT))


def build(
    revision: int,
    newest: int,
    below: subtree.Subtree,
    origin: feed_source.ControlSource,
    led_since: float,
) -> messages.StatusReply:
    """Count the nodes that confirmed a revision and name those that lag.

    The revision is in force everywhere once each known node confirmed it, or
    once every lease from before it must have ended.  Right after an election
    the known nodes are not all, so only the second rule holds then.
    """
    now = asyncio.get_running_loop().time()
    below.expire(now)
    nodes = [
        state for state in below.nodes().values() if state.role in _TAKING_WORK
    ]
    laggards = [state for state in nodes if state.revision < revision]
    knows_all = now >= led_since + origin.max_lease_seconds
    waiting = _waiting(origin.old_leases_end(revision) - now)
    if knows_all and not laggards:
        waiting = 0
    in_force = revision <= newest and not waiting
    return messages.StatusReply(
        revision=newest,
        nodes=len(nodes),
        in_force=len(nodes) - len(laggards),
        laggards=_slowest(laggards),
        in_force_everywhere=in_force,
        waiting_ms=waiting,
    )


def _waiting(seconds: float) -> int:
    return max(math.ceil(seconds * MILLISECONDS), 0)


def _slowest(
    laggards: collections.abc.Iterable[messages.NodeState],
) -> list[messages.NodeState]:
    ordered = sorted(laggards, key=lambda state: state.revision)
    return ordered[:LAGGARDS_LIMIT]
