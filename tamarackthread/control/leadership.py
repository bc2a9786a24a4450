"""Know whether this host leads the configuration group, and since when."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.control import group

TICK_SECONDS = 0.05
_log = logging.getLogger('tamarackthread.control')

OnLead = collections.abc.Callable[[], None]


class Leadership:
    """Tell that this host leads once its machine is up to date.

    A leader that has committed but not yet applied an entry of its own term
    would serve the state from before it and call it the newest.
    """

    def __init__(self, config: group.Group) -> None:
        """Watch ``config``; nobody leads yet."""
        self._config = config
        self._term = 0
        self._since: float = 0
        self._listeners: list[OnLead] = []
        self._followers: list[OnLead] = []
        self._known_leader = ''

    @property
    def since(self) -> float:
        """Give the loop time at which the present leadership was noticed."""
        return self._since

    @property
    def term(self) -> int:
        """Give the term that this host led last."""
        return self._term

    def on_lead(self, listener: OnLead) -> None:
        """Call ``listener`` at the start of each term that this host leads."""
        self._listeners.append(listener)

    def on_other_leader(self, listener: OnLead) -> None:
        """Call ``listener`` once another host is known to lead anew."""
        self._followers.append(listener)

    def leads(self) -> bool:
        """Tell whether this host leads and nobody else can at this moment."""
        if not self._config.has_lease():
            return False
        if self._term == self._config.term:
            return True
        if self._config.applied_index < self._config.commit_index:
            return False
        self._begin()
        return True

    async def run(self) -> None:
        """Notice a new leadership also when nobody asks."""
        while True:
            if self.leads():
                self._known_leader = ''
            else:
                self._look_for_leader()
            await asyncio.sleep(TICK_SECONDS)

    def _look_for_leader(self) -> None:
        leader = self._config.leader
        if leader == self._known_leader:
            return
        self._known_leader = leader
        if not leader:
            return
        for listener in self._followers:
            listener()

    def _begin(self) -> None:
        self._term = self._config.term
        self._since = asyncio.get_running_loop().time()
        _log.info('control: leads in term %d', self._term)
        for listener in self._listeners:
            listener()
