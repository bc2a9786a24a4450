"""Handle the requests that reach a control host of a site over its links."""

from __future__ import annotations

import asyncio

from tamarackthread.control import consensus
from tamarackthread.control.site import callers, evacuation, feed, loads
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, link
from tamarackthread.shared.site import zones


class SiteHandler(link.Handler):
    """Handle requests of control hosts, followers, entries and operators."""

    def __init__(
        self,
        group: consensus.Consensus,
        followers: feed.Feed,
        calls: loads.Loads,
        zones: evacuation.Evacuation,
    ) -> None:
        """Dispatch requests to the consensus group, feed, loads or zones."""
        self._group = group
        self._feed = followers
        self._loads = calls
        self._zones = zones
        self._checks: set[asyncio.Task[None]] = set()

    async def on_request(
        self,
        link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Dispatch a request by its content."""
        if request.site is not None:
            reply = await self._feed.answer(link, request.site)
            return messages.Reply(site=reply)
        if request.site_load is not None:
            totals = self._loads.answer(link.peer.address, request.site_load)
            return messages.Reply(site_load=totals)
        if request.site_zone is not None:
            return await self._handle_operator(link, request.site_zone)
        # Any process with the shared secret can connect, but only control hosts
        # may vote or write to the log.
        if link.peer.role != messages.Role.CONTROL:
            raise errors.RequestUnsupported(f'not for role {link.peer.role}')
        return await self._group.handle(request)

    async def _handle_operator(
        self,
        link: link.Link,
        zone_request: messages.SiteZoneRequest,
    ) -> messages.Reply:
        if link.peer.role != messages.Role.OPERATOR:
            raise errors.RequestUnsupported(f'not for role {link.peer.role}')
        if zone_request.name:
            await self._zones.request(
                zone_request.name,
                callers.LinkCaller(link, zone_request.author or link.peer.node),
                is_evacuated=bool(zone_request.is_evacuated),
            )
        rows = [zones.to_message(row) for row in await self._zones.list_zones()]
        return messages.Reply(site_zone=messages.SiteZoneReply(rows))

    def on_lost(self, link: link.Link) -> None:
        """Check on the leader if the lost link was to it."""
        if link.peer.role != messages.Role.CONTROL:
            return
        check = asyncio.create_task(self._group.check_leader(link.peer.node))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)
