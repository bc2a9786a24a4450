"""Choose the control host that sends documents; others send only versions."""

from __future__ import annotations

import asyncio
import hashlib

import attrs

from tamarackthread.shared import link_pool

# Wait for the preferred host to have a new version, then for each further one.
FETCH_SECONDS = 0.3
NEXT_FETCH_SECONDS = 0.15
# How long a host that timed out is sorted last.
PENALTY_SECONDS = 5.0
_HASH_BYTES = 8


@attrs.define(eq=False)
class SourceState:
    """Versions of one control host; ``advertised`` is the highest one, and with
    ``is_fetch_due`` set its next reply is to carry the document.
    """

    advertised: int = 0
    is_fetch_due: bool = False
    timed_out_at: float | None = None


class SourceSelector:
    """Order control hosts: own zone first, then by a hash of both addresses."""

    def __init__(self, links: link_pool.LinkPool) -> None:
        """Use ``links`` to look up the zones of hosts."""
        self._links = links
        self._states: dict[str, SourceState] = {}

    def state(self, address: str) -> SourceState:
        """Return the state of a host."""
        return self._states.setdefault(address, SourceState())

    def forget(self, address: str) -> None:
        """Drop the state of a host."""
        self._states.pop(address, None)

    def order(self, addresses: list[str]) -> list[str]:
        """Return hosts in order of preference."""
        return sorted(addresses, key=self._rank)

    def is_first(self, address: str, addresses: list[str]) -> bool:
        """Return whether a host is the preferred one."""
        return address in self.order([*addresses, address])[:1]

    def fetch_delay(self, address: str, addresses: list[str]) -> float:
        """Return the seconds to wait for preferred hosts before asking this one."""
        position = self.order([*addresses, address]).index(address)
        return FETCH_SECONDS + position * NEXT_FETCH_SECONDS

    def record_timeout(self, addresses: list[str]) -> None:
        """Record that the preferred host did not deliver in time."""
        now = asyncio.get_running_loop().time()
        for first in self.order(addresses)[:1]:
            self.state(first).timed_out_at = now

    def _rank(self, address: str) -> tuple[bool, bool, bytes]:
        now = asyncio.get_running_loop().time()
        timed_out_at = self.state(address).timed_out_at
        has_timed_out = (
            timed_out_at is not None and now - timed_out_at < PENALTY_SECONDS
        )
        own = self._links.own_identity
        link = self._links.current(address)
        is_far = link is None or link.peer.zone != own.zone
        text = f'{own.node} {own.address} {address}'.encode()
        digest = hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
        return has_timed_out, is_far, digest
