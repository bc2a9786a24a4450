"""Keep this entry's portions of organisations' caps leased."""

from __future__ import annotations

import asyncio
import itertools
import logging

from tamarackthread.entry import directory
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import buckets, portions
from tamarackthread.shared import errors, peers

EVERY_SECONDS = 1.0
TIMEOUT_SECONDS = 1.0
MILLISECONDS = 1000
# Until control has said how many entries there are, this entry takes itself
# for one of so many, and so for less than its share rather than for more.
ASSUMED_ENTRIES = 32
LEAST_DEMAND = 0.01
_log = logging.getLogger('tamarackthread.entry')


class CapsKeeper:
    """Ask control for portions by what callers lately asked for."""

    def __init__(
        self,
        node: str,
        zone: str,
        known: directory.Directory,
        held: buckets.Portions,
        links: peers.Peers,
        addresses: tuple[str, ...],
    ) -> None:
        """Ask nothing before ``run``."""
        self._node = node
        self._zone = zone
        self._directory = known
        self._held = held
        self._links = links
        self._turns = itertools.cycle(addresses)
        self._address = next(self._turns, '')
        self._entries = ASSUMED_ENTRIES

    def follow(self) -> None:
        """Take the caps from the directory."""
        now = asyncio.get_running_loop().time()
        rates = {}
        for name, details in self._directory.organisations.items():
            cap = details.requests_per_second
            if cap:
                rates[name] = portions.safe_share(cap, self._entries)
        self._held.set_caps(rates, now)

    async def run(self) -> None:
        """Ask for ever, for the organisations that callers came from."""
        while True:
            await asyncio.sleep(EVERY_SECONDS)
            asked = self._asked()
            if asked and self._address:
                await self._lease(asked)

    def _asked(self) -> list[messages.PortionRequest]:
        now = asyncio.get_running_loop().time()
        asked = []
        for organisation in self._held.organisations():
            portion = self._held.find(organisation)
            if portion is None:
                continue
            demand, used = portion.measure(now)
            if demand < LEAST_DEMAND:
                continue
            asked.append(
                messages.PortionRequest(
                    organisation=organisation,
                    demand=demand,
                    used=used,
                ),
            )
        return asked

    async def _lease(self, asked: list[messages.PortionRequest]) -> None:
        request = messages.Request(
            portions=messages.PortionsRequest(
                node=self._node,
                zone=self._zone,
                portions=asked,
            ),
        )
        asked_at = asyncio.get_running_loop().time()
        try:
            reply = await self._links.request(
                self._address,
                request,
                TIMEOUT_SECONDS,
            )
        except errors.CodedError as exc:
            _log.info('entry: no portions, %s %s', exc.code, exc)
            self._address = next(self._turns)
            return
        if reply.portions is not None:
            self._take(reply.portions, asked_at)

    def _take(self, leased: messages.PortionsReply, asked_at: float) -> None:
        if leased.entries and leased.entries != self._entries:
            self._entries = leased.entries
            self.follow()
        lease_seconds = (leased.lease_ms or 0) / MILLISECONDS
        for given in leased.portions or ():
            portion = self._held.find(given.organisation)
            if portion is not None:
                portion.grant(given.rate, asked_at, lease_seconds)
