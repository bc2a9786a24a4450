"""Sum up which revision the nodes below this one have confirmed.

A node reports one number for all nodes below that keep up, and names only
those that joined, left or lag.  So a change costs each node one small report
however many are below it, and nothing is sent at rest.
"""

from __future__ import annotations

import collections.abc
import copy

import attrs

from tamarackthread.generated.messages import ttypes as messages

GONE_SECONDS = 3.0
LAG_SECONDS = 1.0


@attrs.define
class _Child:
    """What one direct child reported, with the time it was last heard."""

    zone: str
    address: str
    confirmed: int = 0
    heard_at: float = 0
    nodes: dict[str, messages.NodeState] = attrs.field(factory=dict)

    def revision_of(self, state: messages.NodeState) -> int:
        """Give the revision that a node is known to have confirmed."""
        if state.lags:
            return state.revision
        return max(state.revision, self.confirmed)


@attrs.frozen
class Report:
    """What goes up: the common revision and the nodes that changed."""

    confirmed: int
    nodes: list[messages.NodeState]


class Subtree:
    """Hold the direct children and the nodes that each of them reported."""

    def __init__(self) -> None:
        """Start with no children."""
        self._children: dict[str, _Child] = {}
        self._behind_since: dict[str, float] = {}
        self._sent: dict[str, messages.NodeState] = {}

    def knows(self, child: str) -> bool:
        """Tell whether a child has reported a short time ago."""
        return child in self._children

    def count(self) -> int:
        """Count the direct children."""
        return len(self._children)

    def children_in(self, zone: str) -> list[str]:
        """List the children of a zone."""
        return [
            name for name, child in self._children.items() if child.zone == zone
        ]

    def confirmed_of(self, name: str) -> int:
        """Give what a child confirmed last for itself and those below."""
        child = self._children.get(name)
        return -1 if child is None else child.confirmed

    def address_of(self, name: str) -> str:
        """Give where a child listens, empty if nowhere."""
        child = self._children.get(name)
        return '' if child is None else child.address

    def take(
        self,
        sender: messages.NodeState,
        request: messages.FeedRequest,
        now: float,
    ) -> bool:
        """Take a child's report; say whether its whole list is wanted."""
        child = self._children.get(sender.node)
        is_new = child is None
        if child is None:
            child = _Child(sender.zone, sender.address)
            self._children[sender.node] = child
        child.heard_at = now
        child.confirmed = request.confirmed or 0
        if request.whole:
            child.nodes.clear()
        for state in request.nodes or ():
            _take_state(child, state)
        if sender.node not in child.nodes and not is_new:
            self._children.pop(sender.node)
            return False
        return is_new and not request.whole

    def expire(self, now: float) -> bool:
        """Drop the children that have gone silent; say if there were any."""
        silent = [
            name
            for name, child in self._children.items()
            if now - child.heard_at > GONE_SECONDS
        ]
        for name in silent:
            self._children.pop(name)
        return bool(silent)

    def addresses(self) -> set[str]:
        """Give where the nodes below listen, at any depth."""
        return {
            state.address
            for child in self._children.values()
            for state in child.nodes.values()
        }

    def nodes(self) -> dict[str, messages.NodeState]:
        """Give each node below with the revision that it has confirmed.

        A node that moved is listed by two children for a while; the higher
        revision counts, because the other child no longer hears from it.
        """
        merged: dict[str, messages.NodeState] = {}
        for child in self._children.values():
            for name, state in child.nodes.items():
                revision = child.revision_of(state)
                held = merged.get(name)
                if held is not None and held.revision >= revision:
                    continue
                known = copy.copy(state)
                known.revision = revision
                merged[name] = known
        return merged

    def preview(self, own: messages.NodeState, now: float) -> Report:
        """Build what the parent does not know yet."""
        return self._build(own, now)[0]

    def report(
        self,
        own: messages.NodeState,
        now: float,
        whole: bool,
    ) -> Report:
        """Build what the parent does not know yet and count it as sent."""
        if whole:
            self._sent = {}
        report, states = self._build(own, now)
        self._sent = states
        return report

    def _build(
        self,
        own: messages.NodeState,
        now: float,
    ) -> tuple[Report, dict[str, messages.NodeState]]:
        self.expire(now)
        states = self.nodes()
        states[own.node] = copy.copy(own)
        confirmed = self._mark_laggards(states, own.revision, now)
        changed = [
            state
            for name, state in states.items()
            if _differs(state, self._sent.get(name))
        ]
        changed.extend(self._departed(states))
        return Report(confirmed, changed), states

    def _mark_laggards(
        self,
        states: dict[str, messages.NodeState],
        revision: int,
        now: float,
    ) -> int:
        confirmed = revision
        behind: dict[str, float] = {}
        for name, state in states.items():
            state.lags = False
            if state.revision >= revision:
                continue
            behind[name] = self._behind_since.get(name, now)
            # A node that has just joined is named at once, or the common
            # revision would fall back to the one that it starts from.
            is_new = name not in self._sent
            if is_new or now - behind[name] >= LAG_SECONDS:
                state.lags = True
                continue
            confirmed = min(confirmed, state.revision)
        self._behind_since = behind
        return confirmed

    def _departed(
        self,
        states: collections.abc.Container[str],
    ) -> collections.abc.Iterator[messages.NodeState]:
        for name, state in self._sent.items():
            if name in states:
                continue
            gone = copy.copy(state)
            gone.gone = True
            yield gone


def _take_state(child: _Child, state: messages.NodeState) -> None:
    if state.gone:
        child.nodes.pop(state.node, None)
        return
    child.nodes[state.node] = state


def _differs(
    state: messages.NodeState,
    sent: messages.NodeState | None,
) -> bool:
    if sent is None or state.lags != sent.lags:
        return True
    if state.lags and state.revision != sent.revision:
        return True
    return (state.incarnation, state.address, state.zone) != (
        sent.incarnation,
        sent.address,
        sent.zone,
    )
