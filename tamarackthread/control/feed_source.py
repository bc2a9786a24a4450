"""Serve the configuration feed from the machine as leader, else relay it."""

from __future__ import annotations

import asyncio
import collections
import collections.abc

from tamarackthread.control import configuration, group, leadership
from tamarackthread.shared import catalogue, feed, feed_server, parents, signal

MAX_APPLIED_REVISIONS = 4096
# Allows for nodes whose clocks run slower.
DRIFT_RATIO = 1.05


class LeaderParent(parents.ParentSelector):
    """Choose the leader as feed parent, or none while this host leads."""

    def __init__(
        self,
        config: group.Group,
        address_of: collections.abc.Callable[[str], str],
        own_node: str,
    ) -> None:
        """Look up the leader's address with ``address_of``."""
        self._config = config
        self._address_of = address_of
        self._own_node = own_node

    def choose(self) -> str | None:
        """Return the leader's address if another host is known to lead."""
        leader = self._config.leader
        if not leader or leader == self._own_node:
            return None
        return self._address_of(leader) or None


class ControlSource(feed_server.Source):
    """Serve the machine as leader, else the feed, as the machine may lag."""

    def __init__(
        self,
        leading: leadership.Leadership,
        machine: configuration.Configuration,
        upstream: feed.ConfigFeed,
        lease_seconds: float,
    ) -> None:
        """Grant leases of ``lease_seconds`` while this host leads."""
        self._leadership = leading
        self._machine = machine
        self._upstream = upstream
        self._lease_seconds = lease_seconds
        self._applied_revisions: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=MAX_APPLIED_REVISIONS)
        )
        machine.watch(self._on_revision)
        leading.on_lead(upstream.changed.notify)

    @property
    def max_lease_seconds(self) -> float:
        """Return the longest duration of a lease, clock drift included."""
        return self._lease_seconds * DRIFT_RATIO

    @property
    def documents(self) -> catalogue.Catalogue:
        """Return the machine's documents as leader, else the feed's."""
        if self._leadership.leads():
            return self._machine.documents
        return self._upstream.documents

    @property
    def changed(self) -> signal.Signal:
        """Return the signal shared with the feed."""
        return self._upstream.changed

    @property
    def renewals(self) -> int:
        """Return the number of renewals by the leader; 0 as leader."""
        if self._leadership.leads():
            return 0
        return self._upstream.renewals

    def grant(self) -> feed_server.Grant:
        """Grant a full lease as leader, else the rest of the leader's lease."""
        if not self._leadership.leads():
            return self._upstream.grant()
        return feed_server.Grant(
            remaining=self._lease_seconds,
            age=0,
            revision=self._machine.documents.revision,
        )

    def schedule_report(self) -> None:
        """Make the feed report to its parent; the leader has none."""
        self._upstream.schedule_report()

    def old_leases_end(self, revision: int) -> float:
        """Return when the leases granted before a revision have expired.

        Later leases are granted only to nodes that have the revision.
        """
        for applied, applied_at in self._applied_revisions:
            if applied >= revision:
                return applied_at + self.max_lease_seconds
        return 0

    def _on_revision(self, revision: int) -> None:
        now = asyncio.get_running_loop().time()
        self._applied_revisions.append((revision, now))
        self._upstream.changed.notify()
