"""Serve the feed of targets, zones and configurations to followers."""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.control.site import machine, target_registry
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import link
from tamarackthread.shared.site import announcements, groups, zones

MILLISECONDS = 1000
PERCENT = 100
# Time since its last request for which an entry counts as a follower.
FOLLOWER_TTL_SECONDS = 5.0
# With more followers than this, target updates are batched to bound the total rate
# of replies.
MAX_UNBATCHED_FOLLOWERS = 60
MAX_REPLIES_PER_SECOND = 400
MAX_BATCH_SECONDS = 0.5

Members = collections.abc.Callable[[], list[str]]


class Feed:
    """Answer feed requests by long polling."""

    def __init__(
        self,
        site: machine.SiteMachine,
        targets: target_registry.TargetRegistry,
        members: Members,
        epoch: int,
    ) -> None:
        """Serve from ``site`` and ``targets``; ``epoch`` names this start."""
        self._site = site
        self._targets = targets
        self._members = members
        self._epoch = epoch
        self._news = asyncio.Event()
        self._followers: dict[str, float] = {}
        site.on_change(self._wake)
        targets.on_change(self._wake)

    async def answer(
        self,
        peer: link.Link,
        request: messages.SiteFeedRequest,
    ) -> messages.SiteFeedReply:
        """Reply as soon as there is news, or after the request's wait time."""
        loop = asyncio.get_running_loop()
        if peer.peer.role == messages.Role.ENTRY:
            self._followers[peer.peer.address] = loop.time()
        deadline = loop.time() + (request.wait_ms or 0) / MILLISECONDS
        while not self._has_news(request) and loop.time() < deadline:
            changed = self._news
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                break
        if self._serial_of(request) and not self._is_urgent(request):
            await self._batch(request)
        return self._reply(request)

    async def _batch(self, request: messages.SiteFeedRequest) -> None:
        """Delay target updates to batch them, unless more urgent news comes."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._batch_seconds()
        while loop.time() < deadline and not self._is_urgent(request):
            changed = self._news
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                return

    def _batch_seconds(self) -> float:
        """Return the delay of target updates, by the number of followers."""
        more = max(0, len(self._followers) - MAX_UNBATCHED_FOLLOWERS)
        return min(MAX_BATCH_SECONDS, more / MAX_REPLIES_PER_SECOND)

    def _is_urgent(self, request: messages.SiteFeedRequest) -> bool:
        """Return whether there is news of anything but targets."""
        if self._site.held.version > (request.version or 0):
            return True
        return self._has_newer_zones(request) or self._has_other_groups(request)

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def _has_news(self, request: messages.SiteFeedRequest) -> bool:
        return self._is_urgent(request) or self._has_news_of_targets(request)

    def _has_news_of_targets(self, request: messages.SiteFeedRequest) -> bool:
        return self._serial_of(request) < self._targets.serial

    def _has_newer_zones(self, request: messages.SiteFeedRequest) -> bool:
        return self._site.zones.changes > (request.zone_changes or 0)

    def _has_other_groups(self, request: messages.SiteFeedRequest) -> bool:
        """Return whether the follower's groups differ from the current ones."""
        known_serial = (
            request.groups_serial or 0 if request.epoch == self._epoch else 0
        )
        return known_serial != self._targets.groups.serial

    def _serial_of(self, request: messages.SiteFeedRequest) -> int:
        """Return the follower's serial, 0 if it is of an earlier start."""
        return request.serial or 0 if request.epoch == self._epoch else 0

    def _reply(
        self, request: messages.SiteFeedRequest
    ) -> messages.SiteFeedReply:
        held = self._site.held
        current_groups = self._targets.groups
        is_newer = held.version > (request.version or 0)
        page = self._targets.page_since(self._serial_of(request))
        return messages.SiteFeedReply(
            version=held.version,
            document=(
                held.packed
                if is_newer and not request.without_document
                else None
            ),
            epoch=self._epoch,
            serial=page.serial,
            targets=[
                announcements.to_message(said) for said in page.announcements
            ],
            members=self._members(),
            entries=self._entries(),
            paces=[
                messages.SitePace(id=target, percent=round(pace * PERCENT))
                for target, pace in self._targets.paces().items()
            ],
            groups=(
                groups.to_messages(current_groups)
                if self._has_other_groups(request)
                else None
            ),
            groups_serial=current_groups.serial,
            groups_term=current_groups.term,
            zones=(
                zones.to_messages(self._site.zones)
                if self._has_newer_zones(request)
                else None
            ),
        )

    def _entries(self) -> list[str]:
        now = asyncio.get_running_loop().time()
        for address, asked_at in tuple(self._followers.items()):
            if now - asked_at > FOLLOWER_TTL_SECONDS:
                self._followers.pop(address)
        return sorted(self._followers)
