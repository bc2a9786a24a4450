"""Aggregate the revisions that descendants have confirmed: one revision for
those that are up to date, and deltas for those that joined, left or lag.
"""

from __future__ import annotations

import collections.abc
import copy

import attrs

from tamarackthread.generated.messages import ttypes as messages

CHILD_TIMEOUT_SECONDS = 3.0
LAG_SECONDS = 1.0


@attrs.define
class _Child:
    """Last report of a direct child and when it was received."""

    zone: str
    address: str
    confirmed: int = 0
    last_report_at: float = 0
    nodes: dict[str, messages.NodeState] = attrs.field(factory=dict)

    def revision_of(self, state: messages.NodeState) -> int:
        """Return the revision that a node has confirmed."""
        if state.lags:
            return state.revision
        return max(state.revision, self.confirmed)


@attrs.frozen
class Report:
    """Report to the parent: the common revision and the changed nodes."""

    confirmed: int
    nodes: list[messages.NodeState]


class Subtree:
    """Direct children and the nodes that each of them reported."""

    def __init__(self) -> None:
        """Start with no children."""
        self._children: dict[str, _Child] = {}
        self._behind_since: dict[str, float] = {}
        self._reported: dict[str, messages.NodeState] = {}

    def is_child(self, child: str) -> bool:
        """Return whether a node is a child that has not timed out."""
        return child in self._children

    def count(self) -> int:
        """Return the number of direct children."""
        return len(self._children)

    def children_in(self, zone: str) -> list[str]:
        """Return the children of a zone."""
        return [
            name for name, child in self._children.items() if child.zone == zone
        ]

    def confirmed_of(self, name: str) -> int:
        """Return the common revision of a child's subtree, -1 if unknown."""
        child = self._children.get(name)
        return -1 if child is None else child.confirmed

    def address_of(self, name: str) -> str:
        """Return the address of a child, empty if it has none."""
        child = self._children.get(name)
        return '' if child is None else child.address

    def apply_report(
        self,
        sender: messages.NodeState,
        request: messages.FeedRequest,
        now: float,
    ) -> bool:
        """Apply a child's report; return whether a full report is needed."""
        child = self._children.get(sender.node)
        is_new = child is None
        if child is None:
            child = _Child(sender.zone, sender.address)
            self._children[sender.node] = child
        child.last_report_at = now
        child.confirmed = request.confirmed or 0
        if request.whole:
            child.nodes.clear()
        for state in request.nodes or ():
            _apply_state(child, state)
        if sender.node not in child.nodes and not is_new:
            self._children.pop(sender.node)
            return False
        return is_new and not request.whole

    def expire(self, now: float) -> bool:
        """Remove children that timed out; return whether there were any."""
        silent = [
            name
            for name, child in self._children.items()
            if now - child.last_report_at > CHILD_TIMEOUT_SECONDS
        ]
        for name in silent:
            self._children.pop(name)
        return bool(silent)

    def addresses(self) -> set[str]:
        """Return the addresses of all descendants."""
        return {
            state.address
            for child in self._children.values()
            for state in child.nodes.values()
        }

    def nodes(self) -> dict[str, messages.NodeState]:
        """Return each descendant with its confirmed revision; of a node that
        two children report after it changed parent, the higher one.
        """
        merged: dict[str, messages.NodeState] = {}
        for child in self._children.values():
            for name, state in child.nodes.items():
                revision = child.revision_of(state)
                known_state = merged.get(name)
                if known_state is not None and known_state.revision >= revision:
                    continue
                merged_state = copy.copy(state)
                merged_state.revision = revision
                merged[name] = merged_state
        return merged

    def preview(self, own: messages.NodeState, now: float) -> Report:
        """Build the report of changes that the parent does not have."""
        return self._build(own, now)[0]

    def report(
        self,
        own: messages.NodeState,
        now: float,
        whole: bool,
    ) -> Report:
        """Build the report and record it as sent; all nodes if ``whole``."""
        if whole:
            self._reported = {}
        report, states = self._build(own, now)
        self._reported = states
        return report

    def _build(
        self,
        own: messages.NodeState,
        now: float,
    ) -> tuple[Report, dict[str, messages.NodeState]]:
        self.expire(now)
        states = self.nodes()
        states[own.node] = copy.copy(own)
        confirmed = self._mark_lagging(states, own.revision, now)
        changed = [
            state
            for name, state in states.items()
            if _differs(state, self._reported.get(name))
        ]
        changed.extend(self._left_nodes(states))
        return Report(confirmed, changed), states

    def _mark_lagging(
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
            # A new node lags at once, otherwise the common revision would
            # fall back to the node's initial one.
            is_new = name not in self._reported
            if is_new or now - behind[name] >= LAG_SECONDS:
                state.lags = True
                continue
            confirmed = min(confirmed, state.revision)
        self._behind_since = behind
        return confirmed

    def _left_nodes(
        self,
        states: collections.abc.Container[str],
    ) -> collections.abc.Iterator[messages.NodeState]:
        for name, state in self._reported.items():
            if name in states:
                continue
            left_state = copy.copy(state)
            left_state.gone = True
            yield left_state


def _apply_state(child: _Child, state: messages.NodeState) -> None:
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
