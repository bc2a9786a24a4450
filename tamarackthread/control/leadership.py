"""Track whether this host leads the configuration group."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import group

POLL_INTERVAL_SECONDS = 0.05
_log = logging.getLogger('tamarackthread.control')

Listener = collections.abc.Callable[[], None]


class Leadership:
    """Report leadership once the machine has applied the leader's log.

    Before that, a new leader would serve state that lacks committed changes.
    """

    def __init__(self, config: group.Group) -> None:
        """Watch ``config`` without leading."""
        self._config = config
        self._term = 0
        self._since: float = 0
        self._listeners: list[Listener] = []
        self._other_leader_listeners: list[Listener] = []
        self._known_leader = ''

    @property
    def since(self) -> float:
        """Return the loop time at which the latest leadership was noticed."""
        return self._since

    @property
    def term(self) -> int:
        """Return the term that this host led last."""
        return self._term

    def on_lead(self, listener: Listener) -> None:
        """Call ``listener`` at the start of each term that this host leads."""
        self._listeners.append(listener)

    def on_other_leader(self, listener: Listener) -> None:
        """Call ``listener`` whenever another host becomes the known leader."""
        self._other_leader_listeners.append(listener)

    def leads(self) -> bool:
        """Return whether this host leads and holds the lease."""
        if not self._config.has_lease():
            return False
        if self._term == self._config.term:
            return True
        if self._config.applied_index < self._config.commit_index:
            return False
        self._start_term()
        return True

    async def run(self) -> None:
        """Poll, so that listeners are called without any request."""
        while True:
            if self.leads():
                self._known_leader = ''
            else:
                self._check_other_leader()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _check_other_leader(self) -> None:
        leader = self._config.leader
        if leader == self._known_leader:
            return
        self._known_leader = leader
        if not leader:
            return
        for listener in self._other_leader_listeners:
            listener()

    def _start_term(self) -> None:
        self._term = self._config.term
        self._since = asyncio.get_running_loop().time()
        _log.info('control: leads in term %d', self._term)
        for listener in self._listeners:
            listener()
