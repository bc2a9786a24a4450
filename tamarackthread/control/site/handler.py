"""Answer what comes over the links of a control host of a site."""

from __future__ import annotations

import asyncio

from tamarackthread.control import consensus
from tamarackthread.control.site import evacuation, feed, loads
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, link
from tamarackthread.shared.site import zones


class SiteHandler(link.Handler):
    """Answer other control hosts and the followers."""

    def __init__(
        self,
        group: consensus.Consensus,
        followers: feed.Feed,
        calls: loads.Loads,
        zones: evacuation.Evacuation,
    ) -> None:
        """Direct requests to the group, the feed, the sums or the zones."""
        self._group = group
        self._followers = followers
        self._calls = calls
        self._zones = zones
        self._checks: set[asyncio.Task[None]] = set()

    async def on_request(
        self,
        link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Answer a request by what it asks."""
        if request.site is not None:
            reply = await self._followers.answer(link, request.site)
            return messages.Reply(site=reply)
        if request.site_load is not None:
            told = self._calls.answer(link.peer.address, request.site_load)
            return messages.Reply(site_load=told)
        if request.site_zone is not None:
            return await self._answer_operator(link, request.site_zone)
        # Any process with the shared secret can dial; only control hosts may
        # vote or write to the log.
        if link.peer.role != messages.Role.CONTROL:
            raise errors.RequestUnsupported(f'not for role {link.peer.role}')
        return await self._group.handle(request)

    async def _answer_operator(
        self,
        link: link.Link,
        asked: messages.SiteZoneRequest,
    ) -> messages.Reply:
        if link.peer.role != messages.Role.OPERATOR:
            raise errors.RequestUnsupported(f'not for role {link.peer.role}')
        if asked.name:
            await self._zones.request(
                asked.name,
                asked.author or link.peer.node,
                is_evacuated=bool(asked.is_evacuated),
            )
        rows = [zones.to_message(row) for row in await self._zones.list_zones()]
        return messages.Reply(site_zone=messages.SiteZoneReply(rows))

    def on_lost(self, link: link.Link) -> None:
        """Look after the leader if it was the one at the other end."""
        if link.peer.role != messages.Role.CONTROL:
            return
        check = asyncio.create_task(self._group.check_leader(link.peer.node))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)
