"""Keep a node's configuration in step with the control hosts.

A node pulls from one parent with requests that the parent holds while nothing
is new.  Each answer renews the lease under which the node may take work.  When
the parent fails, the node asks another before the lease ends.
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
# On top of the wait that a relay may stretch, for the way and a busy parent.
GRACE_SECONDS = 0.4
# A fresh lease is 2 s.  A parent that leaves less than this has lost its own
# parent; there is still time to find another one.  With more, an election
# alone would have all nodes leave their parents, and with those the tree.
STARVING_SECONDS = 0.35
LEAST_WAIT_SECONDS = 0.1
RETRY_SECONDS = 0.03
MAX_RETRY_DOUBLINGS = 3
GATHER_SECONDS = 0.02
FAREWELL_SECONDS = 0.3
LEAST_SLEEP_SECONDS = 0.001
_log = logging.getLogger('tamarackthread.feed')

Subscriber = collections.abc.Callable[[catalogue.Catalogue], None]


class ConfigFeed(feed_server.Source):
    """Pull documents and leases, and report what is confirmed below."""

    def __init__(
        self,
        links: link_pool.LinkPool,
        own: identity.Identity,
        choice: parents.ParentSelector,
        wait_seconds: float,
        rng: random.Random | None = None,
    ) -> None:
        """Pull nothing before ``start``; ``wait_seconds`` is each hold."""
        self._links = links
        self._own = own
        self._choice = choice
        self._wait_seconds = wait_seconds
        self._rng = rng or random.Random()
        self._state = leased_catalogue.LeasedCatalogue()
        self._descendants = subtree.Subtree()
        self._changed = signal.Signal()
        self._reported = signal.Signal()
        self._subscribers: list[Subscriber] = []
        self._renewals = 0
        self._whole = True
        self._parent: str | None = None
        self._last_confirmed = -1
        self._tasks: list[asyncio.Task[None]] = []
        self._pulling: asyncio.Task[None] | None = None

    @property
    def documents(self) -> catalogue.Catalogue:
        """Give the documents that this node holds."""
        return self._state.documents

    @property
    def revision(self) -> int:
        """Give the revision of the documents; it never falls."""
        return self._state.documents.revision

    @property
    def changed(self) -> signal.Signal:
        """Give the signal of new revisions and of leases renewed or lost."""
        return self._changed

    @property
    def renewals(self) -> int:
        """Count the renewals of the lease."""
        return self._renewals

    @property
    def descendants(self) -> subtree.Subtree:
        """Give what the children of this node reported."""
        return self._descendants

    @property
    def parent(self) -> str | None:
        """Give the address that this node pulls from now."""
        return self._parent

    def lease_remaining(self) -> float:
        """Give the seconds that the lease still runs."""
        return self._state.lease_remaining()

    def is_current(self, lease_seconds: float | None = None) -> bool:
        """Tell whether this node may take new work, see ``Confirmed``."""
        return self._state.is_current(lease_seconds)

    def grant(self) -> feed_server.Grant:
        """Give the lease that a child of this node may have now."""
        return self._state.grant()

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call back after each new revision, and now if there is one."""
        self._subscribers.append(subscriber)
        if self.revision:
            subscriber(self.documents)

    async def wait_current(self) -> None:
        """Return once this node may take work."""
        while not self.is_current():
            await self._changed.wait(self._now() + self._wait_seconds)

    def start(self) -> None:
        """Start to pull, to report and to watch the lease."""
        loop = asyncio.get_running_loop()
        for work in (self._report(), self._watch_lease()):
            self._tasks.append(loop.create_task(work))
        self._pulling = loop.create_task(self._pull())

    def reselect_parent(self) -> None:
        """Choose a parent anew and at once, whatever is under way."""
        if self._pulling is None:
            return
        self._pulling.cancel()
        self._parent = None
        self._state.abandon_snapshot()
        self._pulling = asyncio.get_running_loop().create_task(self._pull())

    async def stop(self) -> None:
        """Stop pulling and tell the parent, so that nobody waits for us."""
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
            nodes=[self._own_state(gone=True)],
            whole=False,
            wait_ms=0,
            confirmed=self.revision,
        )
        with contextlib.suppress(errors.CodedError, TimeoutError):
            async with asyncio.timeout(FAREWELL_SECONDS):
                await self._ask(self._parent, request, FAREWELL_SECONDS)

    def schedule_report(self) -> None:
        """Report upward soon, because a child reported something."""
        self._reported.notify()

    async def _pull(self) -> None:
        failures = 0
        while True:
            renewals = self._renewals
            address = self._choice.choose()
            if address is not None:
                await self._follow(address)
            failures = 0 if self._renewals > renewals else failures + 1
            if self._choice.has_redirects():
                failures = 0
            # Jitter keeps the children of a lost parent from asking the
            # next one all in the same instant, and the pause grows while
            # nobody can grant a lease, so that an election is not drowned.
            doublings = min(failures, MAX_RETRY_DOUBLINGS)
            pause = RETRY_SECONDS * 2**doublings * self._rng.uniform(0, 1)
            await asyncio.sleep(pause)

    async def _follow(self, address: str) -> None:
        self._whole = True
        wait_seconds: float = 0
        try:
            while True:
                reply = await self._exchange(address, wait_seconds)
                if not self._is_good_parent(address, reply, wait_seconds):
                    break
                ask_at_once = reply.more or reply.ask_whole
                wait_seconds = 0 if ask_at_once else self._patient_wait()
        except (errors.CodedError, TimeoutError) as exc:
            # Once for each parent that is lost; the attempts that follow
            # would drown it.
            level = logging.INFO if self._parent else logging.DEBUG
            _log.log(level, 'feed: parent %s failed, %s', address, exc)
        self._parent = None
        self._state.abandon_snapshot()

    def _patient_wait(self) -> float:
        """Give the wait after which there is still time for other parents."""
        spare = self.lease_remaining() - STARVING_SECONDS
        wait_seconds = min(
            spare / feed_server.RELAY_WAIT_FACTOR, self._wait_seconds
        )
        return max(wait_seconds, LEAST_WAIT_SECONDS)

    def _is_good_parent(
        self,
        address: str,
        reply: messages.FeedReply,
        waited_seconds: float,
    ) -> bool:
        if reply.redirect:
            self._choice.redirect(reply.redirect)
            return False
        self._parent = address
        self._choice.confirm()
        if waited_seconds and self.lease_remaining() < STARVING_SECONDS:
            _log.info('feed: parent %s has no fresh lease', address)
            return False
        return True

    async def _exchange(
        self,
        address: str,
        wait_seconds: float,
    ) -> messages.FeedReply:
        patience = wait_seconds * feed_server.RELAY_WAIT_FACTOR + GRACE_SECONDS
        request = self._request(wait_seconds)
        sent_at = self._now()
        try:
            async with asyncio.timeout(patience):
                reply = await self._ask(address, request, patience)
        except (errors.CodedError, TimeoutError):
            self._whole = True
            raise
        self._take(reply, sent_at)
        return reply

    async def _ask(
        self,
        address: str,
        request: messages.FeedRequest,
        timeout_seconds: float,
    ) -> messages.FeedReply:
        reply = await self._links.request(
            address,
            messages.Request(feed=request),
            timeout_seconds,
        )
        if reply.feed is None:
            raise errors.FrameInvalid('reply without a feed')
        return reply.feed

    def _request(self, wait_seconds: float) -> messages.FeedRequest:
        whole = self._whole
        self._whole = False
        report = self._descendants.report(self._own_state(), self._now(), whole)
        self._last_confirmed = report.confirmed
        return messages.FeedRequest(
            after=self._state.after,
            epoch=self._own.incarnation,
            nodes=report.nodes,
            whole=whole,
            wait_ms=int(wait_seconds * MILLISECONDS),
            confirmed=report.confirmed,
            floor=self._state.floor,
        )

    def _take(self, reply: messages.FeedReply, sent_at: float) -> None:
        before = self.revision
        if reply.ask_whole:
            self._whole = True
        renewed = self._state.take(reply, sent_at)
        self._renewals += renewed
        if self.revision > before:
            for subscriber in self._subscribers:
                subscriber(self.documents)
        if renewed or self.revision > before:
            self._changed.notify()

    async def _report(self) -> None:
        while True:
            if not await self._reported.wait(self._now() + self._wait_seconds):
                continue
            # Children confirm a revision within a short time of each other;
            # one report then speaks for all of them.
            await asyncio.sleep(GATHER_SECONDS)
            if self._parent is None or not self._is_report_due():
                continue
            with contextlib.suppress(errors.CodedError, TimeoutError):
                await self._exchange(self._parent, 0)

    def _is_report_due(self) -> bool:
        preview = self._descendants.preview(self._own_state(), self._now())
        if preview.nodes:
            return True
        return preview.confirmed > self._last_confirmed

    async def _watch_lease(self) -> None:
        while True:
            remaining = self.lease_remaining()
            if remaining:
                await asyncio.sleep(max(remaining, LEAST_SLEEP_SECONDS))
                continue
            # Children hold requests here; they look for another parent the
            # sooner they know that this one has nothing to pass on.
            self._changed.notify()
            await self._changed.wait(self._now() + self._wait_seconds)

    def _own_state(self, gone: bool = False) -> messages.NodeState:
        return messages.NodeState(
            node=self._own.node,
            role=self._own.role,
            zone=self._own.zone,
            revision=self.revision,
            gone=gone,
            incarnation=self._own.incarnation,
            address=self._own.address,
            lags=False,
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
