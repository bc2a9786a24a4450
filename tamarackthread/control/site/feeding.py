"""Answer the followers of a control host as soon as there is news."""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.control.site import book, machine
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import link
from tamarackthread.shared.site import announcements, groups, zones

MILLISECONDS = 1000
PERCENT = 100
# A follower counts among the entries for so long after its last question.
FOLLOWER_SECONDS = 5.0

Members = collections.abc.Callable[[], list[str]]


class Feeding:
    """Hold each follower's question until something is newer."""

    def __init__(
        self,
        site: machine.SiteMachine,
        targets: book.Book,
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
        return self._reply(asked)

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def _has_news(self, asked: messages.SiteFeedRequest) -> bool:
        if self._site.held.version > (asked.version or 0):
            return True
        if self._has_newer_zones(asked) or self._has_other_groups(asked):
            return True
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
        rows = self._targets.after(self._serial_of(asked))
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
