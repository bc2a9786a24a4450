"""Replicate the configuration from a parent by long polling; each reply also
renews the lease without which the node accepts no work.
"""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import logging
import random

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    catalogue,
    errors,
    feed_server,
    identity,
    leased_catalogue,
    link_pool,
    parents,
    signal,
    subtree,
)

MILLISECONDS = 1000
# Added to the longest wait of a relay (a parent that is not a control host), for
# latency and a busy parent.
REPLY_MARGIN_SECONDS = 0.4
# A parent that grants a shorter lease has lost its own parent, so another is
# selected.  A higher limit would change parents at each leader election.
MIN_PARENT_LEASE_SECONDS = 0.35
MIN_WAIT_SECONDS = 0.1
RETRY_SECONDS = 0.03
MAX_RETRY_DOUBLINGS = 3
REPORT_DELAY_SECONDS = 0.02
LEAVE_TIMEOUT_SECONDS = 0.3
MIN_SLEEP_SECONDS = 0.001
_log = logging.getLogger('tamarackthread.feed')

Subscriber = collections.abc.Callable[[catalogue.Catalogue], None]


class ConfigFeed(feed_server.Source):
    """Pull documents and leases; report what descendants have confirmed."""

    def __init__(
        self,
        pool: link_pool.LinkPool,
        own: identity.Identity,
        selector: parents.ParentSelector,
        wait_seconds: float,
        rng: random.Random | None = None,
    ) -> None:
        """Pull from selected parents, which hold polls for ``wait_seconds``."""
        self._pool = pool
        self._own = own
        self._selector = selector
        self._wait_seconds = wait_seconds
        self._rng = rng or random.Random()
        self._replica = leased_catalogue.LeasedCatalogue()
        self._descendants = subtree.Subtree()
        self._changed = signal.Signal()
        self._report_requested = signal.Signal()
        self._subscribers: list[Subscriber] = []
        self._renewals = 0
        self._full_report_due = True
        self._parent: str | None = None
        self._last_confirmed = -1
        self._tasks: list[asyncio.Task[None]] = []
        self._pulling: asyncio.Task[None] | None = None

    @property
    def documents(self) -> catalogue.Catalogue:
        """Return the replicated documents."""
        return self._replica.documents

    @property
    def revision(self) -> int:
        """Return the revision of the documents, which never decreases."""
        return self._replica.documents.revision

    @property
    def changed(self) -> signal.Signal:
        """Return the signal of new revisions and lease changes."""
        return self._changed

    @property
    def renewals(self) -> int:
        """Return the number of lease renewals."""
        return self._renewals

    @property
    def descendants(self) -> subtree.Subtree:
        """Return the nodes that children of this node have reported."""
        return self._descendants

    @property
    def parent(self) -> str | None:
        """Return the address of the current parent."""
        return self._parent

    def lease_remaining(self) -> float:
        """Return the remaining seconds of the lease."""
        return self._replica.lease_remaining()

    def is_ready(self, lease_seconds: float | None = None) -> bool:
        """Return whether this node may accept new work."""
        return self._replica.is_ready(lease_seconds)

    def grant(self) -> feed_server.Grant:
        """Return the lease to grant to a child."""
        return self._replica.grant()

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call back at each new revision and, if there is one, now."""
        self._subscribers.append(subscriber)
        if self.revision:
            subscriber(self.documents)

    async def wait_ready(self) -> None:
        """Wait until this node may accept work."""
        while not self.is_ready():
            await self._changed.wait(self._now() + self._wait_seconds)

    def start(self) -> None:
        """Start the tasks that pull, report and watch the lease."""
        loop = asyncio.get_running_loop()
        for work in (self._report(), self._watch_lease()):
            self._tasks.append(loop.create_task(work))
        self._pulling = loop.create_task(self._pull())

    def reselect_parent(self) -> None:
        """Cancel a pending pull and select a parent again."""
        if self._pulling is None:
            return
        self._pulling.cancel()
        self._parent = None
        self._replica.abandon_snapshot()
        self._pulling = asyncio.get_running_loop().create_task(self._pull())

    async def stop(self) -> None:
        """Stop and report to the parent that this node has left."""
        tasks = list(self._tasks)
        if self._pulling is not None:
            tasks.append(self._pulling)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._parent is None:
            return
        request = messages.FeedRequest(
            after=self.revision,
            epoch=self._own.incarnation,
            nodes=[self._own_node_state(gone=True)],
            whole=False,
            wait_ms=0,
            confirmed=self.revision,
        )
        with contextlib.suppress(errors.CodedError, TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_SECONDS):
                await self._ask(self._parent, request, LEAVE_TIMEOUT_SECONDS)

    def schedule_report(self) -> None:
        """Request a report to the parent after one of a child."""
        self._report_requested.notify()

    async def _pull(self) -> None:
        failures = 0
        while True:
            renewals = self._renewals
            address = self._selector.choose()
            if address is not None:
                await self._pull_from(address)
            failures = 0 if self._renewals > renewals else failures + 1
            if self._selector.has_redirects():
                failures = 0
            # Backoff with jitter: the children of a lost parent don't move to
            # the next one at once, nor load control during an election.
            doublings = min(failures, MAX_RETRY_DOUBLINGS)
            pause = RETRY_SECONDS * 2**doublings * self._rng.uniform(0, 1)
            await asyncio.sleep(pause)

    async def _pull_from(self, address: str) -> None:
        self._full_report_due = True
        wait_seconds: float = 0
        try:
            while True:
                reply = await self._exchange(address, wait_seconds)
                if not self._accept_parent(address, reply, wait_seconds):
                    break
                # ``ask_whole`` requests a full report.
                poll_at_once = reply.more or reply.ask_whole
                wait_seconds = 0 if poll_at_once else self._long_poll_seconds()
        except (errors.CodedError, TimeoutError) as exc:
            # Logged once for each lost parent and not for each retry.
            level = logging.INFO if self._parent else logging.DEBUG
            _log.log(level, 'feed: parent %s failed, %s', address, exc)
        self._parent = None
        self._replica.abandon_snapshot()

    def _long_poll_seconds(self) -> float:
        """Return a wait that leaves time to try other parents."""
        spare = self.lease_remaining() - MIN_PARENT_LEASE_SECONDS
        wait_seconds = min(
            spare / feed_server.RELAY_WAIT_FACTOR, self._wait_seconds
        )
        return max(wait_seconds, MIN_WAIT_SECONDS)

    def _accept_parent(
        self,
        address: str,
        reply: messages.FeedReply,
        wait_seconds: float,
    ) -> bool:
        if reply.redirect:
            self._selector.redirect(reply.redirect)
            return False
        self._parent = address
        self._selector.confirm()
        if wait_seconds and self.lease_remaining() < MIN_PARENT_LEASE_SECONDS:
            _log.info('feed: lease of parent %s is expiring', address)
            return False
        return True

    async def _exchange(
        self,
        address: str,
        wait_seconds: float,
    ) -> messages.FeedReply:
        timeout_seconds = (
            wait_seconds * feed_server.RELAY_WAIT_FACTOR + REPLY_MARGIN_SECONDS
        )
        request = self._request(wait_seconds)
        sent_at = self._now()
        try:
            async with asyncio.timeout(timeout_seconds):
                reply = await self._ask(address, request, timeout_seconds)
        except (errors.CodedError, TimeoutError):
            self._full_report_due = True
            raise
        self._apply(reply, sent_at)
        return reply

    async def _ask(
        self,
        address: str,
        request: messages.FeedRequest,
        timeout_seconds: float,
    ) -> messages.FeedReply:
        reply = await self._pool.request(
            address,
            messages.Request(feed=request),
            timeout_seconds,
        )
        if reply.feed is None:
            raise errors.FrameInvalid('reply has no feed')
        return reply.feed

    def _request(self, wait_seconds: float) -> messages.FeedRequest:
        whole = self._full_report_due
        self._full_report_due = False
        report = self._descendants.report(
            self._own_node_state(), self._now(), whole
        )
        self._last_confirmed = report.confirmed
        return messages.FeedRequest(
            after=self._replica.after,
            epoch=self._own.incarnation,
            nodes=report.nodes,
            whole=whole,
            wait_ms=int(wait_seconds * MILLISECONDS),
            confirmed=report.confirmed,
            # Identifies a partly fetched snapshot.
            floor=self._replica.floor,
        )

    def _apply(self, reply: messages.FeedReply, sent_at: float) -> None:
        before = self.revision
        if reply.ask_whole:
            self._full_report_due = True
        renewed = self._replica.apply_reply(reply, sent_at)
        self._renewals += renewed
        if self.revision > before:
            for subscriber in self._subscribers:
                subscriber(self.documents)
        if renewed or self.revision > before:
            self._changed.notify()

    async def _report(self) -> None:
        while True:
            if not await self._report_requested.wait(
                self._now() + self._wait_seconds
            ):
                continue
            # Batches the confirmations of several children into one report.
            await asyncio.sleep(REPORT_DELAY_SECONDS)
            if self._parent is None or not self._has_unreported():
                continue
            with contextlib.suppress(errors.CodedError, TimeoutError):
                await self._exchange(self._parent, 0)

    def _has_unreported(self) -> bool:
        preview = self._descendants.preview(self._own_node_state(), self._now())
        if preview.nodes:
            return True
        return preview.confirmed > self._last_confirmed

    async def _watch_lease(self) -> None:
        while True:
            remaining = self.lease_remaining()
            if remaining:
                await asyncio.sleep(max(remaining, MIN_SLEEP_SECONDS))
                continue
            # Answers held polls of children, so that they select another
            # parent soon.
            self._changed.notify()
            await self._changed.wait(self._now() + self._wait_seconds)

    def _own_node_state(self, gone: bool = False) -> messages.NodeState:
        return messages.NodeState(
            node=self._own.node,
            role=self._own.role,
            zone=self._own.zone,
            revision=self.revision,
            gone=gone,
            incarnation=self._own.incarnation,
            address=self._own.address,
            # Set by ``Subtree``.
            lags=False,
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
