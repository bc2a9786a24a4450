"""Interface of a replicated log, as the control role uses it."""

from __future__ import annotations

import typing

from tamarackthread.control import proposing


class Group(typing.Protocol):
    """One replicated log on this control host."""

    @property
    def term(self) -> int:
        """Return the newest known term."""

    @property
    def leader(self) -> str:
        """Return the node of the presumed leader, empty if unknown."""

    @property
    def commit_index(self) -> int:
        """Return the index of the last entry known to be committed."""

    @property
    def applied_index(self) -> int:
        """Return the index of the last applied entry."""

    async def propose(self, command: bytes) -> proposing.ProposeResult:
        """Replicate a command and return the machine's result."""

    async def read_barrier(self) -> int:
        """Return once the local machine is linearizably current."""

    def has_lease(self) -> bool:
        """Return whether this host holds the leader lease."""
