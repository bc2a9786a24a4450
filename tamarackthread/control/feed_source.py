"""Serve the configuration from the machine as leader, else from the leader.

A control host that does not lead is a relay like any other node: its log may
hold what is not known to be committed, or lag behind, and only the leader can
say that a revision is the newest.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc

from tamarackthread.control import configuration, group, leadership
from tamarackthread.shared import catalogue, feed, feed_server, parents, signal

KEPT_APPLIED = 4096
# Nodes count their lease by clocks that may run slower than ours.
DRIFT_RATIO = 1.05


class LeaderParent(parents.ParentSelector):
    """Name the leader as the only parent, and nobody while this host leads."""

    def __init__(
        self,
        config: group.Group,
        address_of: collections.abc.Callable[[str], str],
        own_node: str,
    ) -> None:
        """Find the leader's address by its node with ``address_of``."""
        self._config = config
        self._address_of = address_of
        self._own_node = own_node

    def choose(self) -> str | None:
        """Give the leader's address if it is known and another host."""
        leader = self._config.leader
        if not leader or leader == self._own_node:
            return None
        return self._address_of(leader) or None


class ControlSource(feed_server.Source):
    """Choose between the machine and the feed by who leads."""

    def __init__(
        self,
        leading: leadership.Leadership,
        machine: configuration.Configuration,
        upstream: feed.ConfigFeed,
        lease_seconds: float,
    ) -> None:
        """Grant leases of ``lease_seconds`` while this host leads."""
        self._leading = leading
        self._machine = machine
        self._upstream = upstream
        self._lease_seconds = lease_seconds
        self._applied: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=KEPT_APPLIED
        )
        machine.watch(self._on_revision)
        leading.on_lead(upstream.changed.notify)

    @property
    def max_lease_seconds(self) -> float:
        """Give the time after which no lease granted before still runs."""
        return self._lease_seconds * DRIFT_RATIO

    @property
    def documents(self) -> catalogue.Catalogue:
        """Give the machine's documents as leader, else the feed's."""
        if self._leading.leads():
            return self._machine.documents
        return self._upstream.documents

    @property
    def changed(self) -> signal.Signal:
        """Give the signal that the feed shares with this source."""
        return self._upstream.changed

    @property
    def renewals(self) -> int:
        """Count the renewals by the leader; 0 while this host leads."""
        if self._leading.leads():
            return 0
        return self._upstream.renewals

    def grant(self) -> feed_server.Grant:
        """Grant a full lease as leader, else what the leader's leaves."""
        if not self._leading.leads():
            return self._upstream.grant()
        return feed_server.Grant(
            remaining=self._lease_seconds,
            age=0,
            revision=self._machine.documents.revision,
        )

    def schedule_report(self) -> None:
        """Have the feed report further; as leader it has no parent."""
        self._upstream.schedule_report()

    def old_leases_end(self, revision: int) -> float:
        """Tell when no node without a revision can take work any more.

        Leases that were granted after the revision was applied hold only for
        nodes that have it; all others have ended by then.
        """
        for applied, at in self._applied:
            if applied >= revision:
                return at + self.max_lease_seconds
        return 0

    def _on_revision(self, revision: int) -> None:
        now = asyncio.get_running_loop().time()
        self._applied.append((revision, now))
        self._upstream.changed.notify()
