"""Say what the control role needs of a replicated log."""

from __future__ import annotations

import typing

from tamarackthread.control import proposing


class Group(typing.Protocol):
    """One replicated log on this control host."""

    @property
    def term(self) -> int:
        """Give the newest term that this host knows."""

    @property
    def leader(self) -> str:
        """Give the node that is believed to lead, empty if unknown."""

    @property
    def commit_index(self) -> int:
        """Give the index up to which entries are known committed."""

    @property
    def applied_index(self) -> int:
        """Give the index that the machine's state is at."""

    async def propose(self, command: bytes) -> proposing.ProposeResult:
        """Replicate a command and give the machine's answer."""

    async def read_barrier(self) -> int:
        """Return once the local machine is known to be current."""

    def has_lease(self) -> bool:
        """Tell whether this host leads and knows that nobody else does."""
