"""Decide which control host brings a follower its configurations.

The failure: each control host tells each follower of a new configuration, and all
of them send it whole, so that it crosses between zones some ten times for each
process.  One near host sends it; the others only name its version, and one of
them is asked for it where the near one has not brought it soon.
"""

from __future__ import annotations

import asyncio
import hashlib

import attrs

from tamarackthread.shared import link_pool

# A near host has a new configuration some hundredths of a second after the first
# one that tells of it.  Later it is asked of the next host, and so on.
FETCH_SECONDS = 0.3
NEXT_SECONDS = 0.15
# A host that did not bring one in time is put last for so long.
MISSED_SECONDS = 5.0
_MARK_BYTES = 8


@attrs.define(eq=False)
class SourceState:
    """What one control host has told of versions.

    ``told`` is the highest of which it has told, and ``is_asked`` whether it is to
    send the configuration with its next answer.
    """

    told: int = 0
    is_asked: bool = False
    missed_at: float | None = None


class SourceSelector:
    """Put the control hosts in order: near ones first, each follower another."""

    def __init__(self, links: link_pool.LinkPool) -> None:
        """Learn from ``links`` in which zone a host is."""
        self._links = links
        self._supplies: dict[str, SourceState] = {}

    def state(self, address: str) -> SourceState:
        """Return what a host has told."""
        return self._supplies.setdefault(address, SourceState())

    def forget(self, address: str) -> None:
        """Forget a host."""
        self._supplies.pop(address, None)

    def order(self, addresses: list[str]) -> list[str]:
        """Return hosts in the order in which they are asked."""
        return sorted(addresses, key=self._rank)

    def is_first(self, address: str, addresses: list[str]) -> bool:
        """Tell whether a host is the one that brings configurations."""
        return address in self.order([*addresses, address])[:1]

    def fetch_delay(self, address: str, addresses: list[str]) -> float:
        """Return how long others may take before a host is asked, in seconds."""
        place = self.order([*addresses, address]).index(address)
        return FETCH_SECONDS + place * NEXT_SECONDS

    def record_timeout(self, addresses: list[str]) -> None:
        """Note that the first of some hosts has not brought one in time."""
        now = asyncio.get_running_loop().time()
        for first in self.order(addresses)[:1]:
            self.state(first).missed_at = now

    def _rank(self, address: str) -> tuple[bool, bool, bytes]:
        now = asyncio.get_running_loop().time()
        missed_at = self.state(address).missed_at
        has_missed = missed_at is not None and now - missed_at < MISSED_SECONDS
        own = self._links.own_identity
        held = self._links.current(address)
        is_far = held is None or held.peer.zone != own.zone
        text = f'{own.node} {own.address} {address}'.encode()
        mark = hashlib.blake2b(text, digest_size=_MARK_BYTES).digest()
        return has_missed, is_far, mark
