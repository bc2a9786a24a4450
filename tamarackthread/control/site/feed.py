"""Answer the followers of a control host as soon as there is news."""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.control.site import machine, target_registry
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import link
from tamarackthread.shared.site import announcements, groups, zones

MILLISECONDS = 1000
PERCENT = 100
# A follower counts among the entries for so long after its last question.
FOLLOWER_SECONDS = 5.0
# Thousands of targets are told of again and again.  For more than a few followers
# news of them waits for more, so that so many replies a second go to the others.
FEW_FOLLOWERS = 60
REPLIES_A_SECOND = 400
MOST_HELD_SECONDS = 0.5

Members = collections.abc.Callable[[], list[str]]


class Feed:
    """Hold each follower's question until something is newer."""

    def __init__(
        self,
        site: machine.SiteMachine,
        targets: target_registry.TargetRegistry,
        members: Members,
        epoch: int,
    ) -> None:
        """Serve from ``site`` and ``targets``; ``epoch`` is this start."""
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
        asked: messages.SiteFeedRequest,
    ) -> messages.SiteFeedReply:
        """Reply at once if there is news, else when there is or time is up."""
        loop = asyncio.get_running_loop()
        if peer.peer.role == messages.Role.ENTRY:
            self._followers[peer.peer.address] = loop.time()
        until = loop.time() + (asked.wait_ms or 0) / MILLISECONDS
        while not self._has_news(asked) and loop.time() < until:
            news = self._news
            try:
                async with asyncio.timeout_at(until):
                    await news.wait()
            except TimeoutError:
                break
        if self._serial_of(asked) and not self._is_urgent(asked):
            await self._hold(asked)
        return self._reply(asked)

    async def _hold(self, asked: messages.SiteFeedRequest) -> None:
        """Let news of targets wait for more, unless other news comes."""
        loop = asyncio.get_running_loop()
        until = loop.time() + self._held_seconds()
        while loop.time() < until and not self._is_urgent(asked):
            news = self._news
            try:
                async with asyncio.timeout_at(until):
                    await news.wait()
            except TimeoutError:
                return

    def _held_seconds(self) -> float:
        """Return how long news of targets waits for more."""
        more = max(0, len(self._followers) - FEW_FOLLOWERS)
        return min(MOST_HELD_SECONDS, more / REPLIES_A_SECOND)

    def _is_urgent(self, asked: messages.SiteFeedRequest) -> bool:
        """Tell whether there is more news than that of targets."""
        if self._site.held.version > (asked.version or 0):
            return True
        return self._has_newer_zones(asked) or self._has_other_groups(asked)

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def _has_news(self, asked: messages.SiteFeedRequest) -> bool:
        return self._is_urgent(asked) or self._has_news_of_targets(asked)

    def _has_news_of_targets(self, asked: messages.SiteFeedRequest) -> bool:
        return self._serial_of(asked) < self._targets.serial

    def _has_newer_zones(self, asked: messages.SiteFeedRequest) -> bool:
        return self._site.zones.changes > (asked.zone_changes or 0)

    def _has_other_groups(self, asked: messages.SiteFeedRequest) -> bool:
        """Tell whether the follower has other groups than this start's."""
        known = asked.groups_serial or 0 if asked.epoch == self._epoch else 0
        return known != self._targets.groups.serial

    def _serial_of(self, asked: messages.SiteFeedRequest) -> int:
        """Return how far the follower is in this start's book."""
        return asked.serial or 0 if asked.epoch == self._epoch else 0

    def _reply(self, asked: messages.SiteFeedRequest) -> messages.SiteFeedReply:
        held = self._site.held
        known = self._targets.groups
        is_newer = held.version > (asked.version or 0)
        rows = self._targets.changed_since(self._serial_of(asked))
        return messages.SiteFeedReply(
            version=held.version,
            document=(
                held.packed if is_newer and not asked.without_document else None
            ),
            epoch=self._epoch,
            serial=self._targets.serial,
            targets=[announcements.to_message(said) for said in rows],
            members=self._members(),
            entries=self._entries(),
            paces=[
                messages.SitePace(id=target, percent=round(pace * PERCENT))
                for target, pace in self._targets.paces().items()
            ],
            groups=(
                groups.to_messages(known)
                if self._has_other_groups(asked)
                else None
            ),
            groups_serial=known.serial,
            groups_term=known.term,
            zones=(
                zones.to_messages(self._site.zones)
                if self._has_newer_zones(asked)
                else None
            ),
        )

    def _entries(self) -> list[str]:
        now = asyncio.get_running_loop().time()
        for address, asked_at in tuple(self._followers.items()):
            if now - asked_at > FOLLOWER_SECONDS:
                self._followers.pop(address)
        return sorted(self._followers)
