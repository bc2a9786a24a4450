"""Lease this entry's portions of organisations' rate limits from control."""

from __future__ import annotations

import asyncio
import itertools
import logging

from tamarackthread.entry import directory
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import buckets, portions
from tamarackthread.shared import errors, link_pool

RENEW_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 1.0
MILLISECONDS = 1000
# The number of entries until control reports it; high, so that the shares of
# all entries stay under the limit.
ASSUMED_ENTRIES = 32
MIN_DEMAND = 0.01
_log = logging.getLogger('tamarackthread.entry')


class RateLeaser:
    """Renew the leases of portions by the recent demand of callers."""

    def __init__(
        self,
        node: str,
        zone: str,
        config: directory.Directory,
        leased: buckets.Portions,
        links: link_pool.LinkPool,
        addresses: tuple[str, ...],
    ) -> None:
        """Send no request before ``run``."""
        self._node = node
        self._zone = zone
        self._directory = config
        self._portions = leased
        self._links = links
        self._address_cycle = itertools.cycle(addresses)
        self._address = next(self._address_cycle, '')
        self._entries = ASSUMED_ENTRIES

    def update_limits(self) -> None:
        """Set the safe shares of the rate limits in the directory."""
        now = asyncio.get_running_loop().time()
        rates = {}
        for name, details in self._directory.organisations.items():
            limit = details.requests_per_second
            if limit:
                rates[name] = portions.safe_share(limit, self._entries)
        self._portions.set_caps(rates, now)

    async def run(self) -> None:
        """Renew the leases of organisations with recent calls."""
        while True:
            await asyncio.sleep(RENEW_SECONDS)
            wanted = self._wanted_portions()
            if wanted and self._address:
                await self._renew(wanted)

    def _wanted_portions(self) -> list[messages.PortionRequest]:
        now = asyncio.get_running_loop().time()
        wanted = []
        for organisation in self._portions.organisations():
            portion = self._portions.find(organisation)
            if portion is None:
                continue
            demand, used = portion.measure(now)
            if demand < MIN_DEMAND:
                continue
            wanted.append(
                messages.PortionRequest(
                    organisation=organisation,
                    demand=demand,
                    used=used,
                ),
            )
        return wanted

    async def _renew(self, wanted: list[messages.PortionRequest]) -> None:
        request = messages.Request(
            portions=messages.PortionsRequest(
                node=self._node,
                zone=self._zone,
                portions=wanted,
            ),
        )
        requested_at = asyncio.get_running_loop().time()
        try:
            reply = await self._links.request(
                self._address,
                request,
                REQUEST_TIMEOUT_SECONDS,
            )
        except errors.CodedError as exc:
            _log.info('entry: rate leases not renewed, %s %s', exc.code, exc)
            self._address = next(self._address_cycle)
            return
        if reply.portions is not None:
            self._apply(reply.portions, requested_at)

    def _apply(
        self, reply: messages.PortionsReply, requested_at: float
    ) -> None:
        if reply.entries and reply.entries != self._entries:
            self._entries = reply.entries
            self.update_limits()
        lease_seconds = (reply.lease_ms or 0) / MILLISECONDS
        for granted in reply.portions or ():
            portion = self._portions.find(granted.organisation)
            if portion is not None:
                portion.grant(granted.rate, requested_at, lease_seconds)
