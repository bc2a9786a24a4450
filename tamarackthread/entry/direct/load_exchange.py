"""Tell other entries of this one's calls, and learn of theirs."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

from tamarackthread.entry.direct import (
    outlier_detection,
    poison_requests,
    targets,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, peers

# Entries exchange so often: a call at a rank lasts ten times as long, and the
# few that were sent since the last exchange rarely meet at one of many ranks.
LEAST_SECONDS = 0.05
# All entries together ask so often, so that the host that sums has a tenth of
# a core for it at most, however many there are.
EXCHANGES_A_SECOND = 400
MOST_SECONDS = 1.0
# A host that does not answer within this is left for the next one.
ANSWER_SECONDS = 0.3
# What others had is no guide after so long without an exchange.
STALE_SECONDS = 1.0
NEVER_TOLD = -1
_log = logging.getLogger('tamarackthread.entry')

Names = collections.abc.Callable[[], collections.abc.Sequence[str]]


class LoadExchange:
    """Exchange calls with the first control host that answers.

    All entries ask the same one as long as they see the same hosts.  Nothing
    here is agreed on or kept: an entry that reaches none goes by its own calls.
    """

    def __init__(
        self,
        known: targets.Targets,
        links: peers.Peers,
        hosts: Names,
        entries: Names,
        on_exchange: collections.abc.Callable[[], None],
        suspected: poison_requests.PoisonRequests | None = None,
    ) -> None:
        """Exchange what ``known`` holds with one of ``hosts``.

        ``on_exchange`` is called after each exchange, also after one that no
        host has answered.  What is known of ``suspected`` calls goes both ways.
        """
        self._suspected = suspected or poison_requests.PoisonRequests()
        self._known = known
        self._links = links
        self._hosts = hosts
        self._entries = entries
        self._on_exchange = on_exchange
        self._host = ''
        self._epoch = 0
        self._serial = 0
        self._sums: dict[str, outlier_detection.TargetLoad] = {}
        self._told_serial = NEVER_TOLD
        self._heard_serial = 0

    async def run(self) -> None:
        """Exchange for ever."""
        loop = asyncio.get_running_loop()
        exchanged_at = loop.time()
        while True:
            await asyncio.sleep(_pause(len(self._entries())))
            if await self.exchange():
                exchanged_at = loop.time()
            elif loop.time() - exchanged_at > STALE_SECONDS:
                self._forget()
            self._on_exchange()

    async def exchange(self) -> bool:
        """Exchange once; tell whether a host has answered."""
        for host in sorted(self._hosts()):
            if host != self._host:
                self._forget()
                self._host = host
            try:
                await self._ask(host)
            except (errors.CodedError, TimeoutError) as exc:
                _log.debug('entry: no calls of others, %s', exc)
                continue
            return True
        return False

    async def _ask(self, host: str) -> None:
        own = self._known.own_loads()
        suspects = self._suspected.own()
        serial = self._suspected.serial
        asked = messages.SiteLoadRequest(
            epoch=self._epoch,
            serial=self._serial,
            own=[
                messages.SiteCalls(
                    id=target,
                    calls=load.calls,
                    answered=load.ends.answered,
                    failed=load.ends.failed,
                )
                for target, load in own.items()
            ],
            suspects=None if serial == self._told_serial else suspects,
            suspects_serial=self._heard_serial,
        )
        async with asyncio.timeout(ANSWER_SECONDS):
            reply = await self._links.request(
                host, messages.Request(site_load=asked), ANSWER_SECONDS
            )
        if reply.site_load is None:
            raise errors.FrameInvalid('control host answered something else')
        self._told_serial = serial
        self._take(reply.site_load, own)

    def _take(
        self,
        reply: messages.SiteLoadReply,
        own: dict[str, outlier_detection.TargetLoad],
    ) -> None:
        if reply.epoch != self._epoch:
            self._sums = {}
            # The host has started again and knows nothing of what it was told.
            self._told_serial = NEVER_TOLD
        self._epoch = reply.epoch
        self._serial = reply.serial
        self._heard_serial = reply.suspects_serial or 0
        self._suspected.share(reply.suspects or ())
        for row in reply.changed:
            ends = outlier_detection.OutcomeCounts(
                row.answered or 0, row.failed or 0
            )
            self._sums[row.id] = outlier_detection.TargetLoad(row.calls, ends)
            if self._sums[row.id] == outlier_detection.IDLE:
                self._sums.pop(row.id)
        self._known.share(
            {
                target: load.minus(own.get(target, outlier_detection.IDLE))
                for target, load in self._sums.items()
            },
            reply.entries or 1,
        )

    def _forget(self) -> None:
        self._epoch = 0
        self._serial = 0
        self._sums = {}
        self._told_serial = NEVER_TOLD
        self._heard_serial = 0
        self._known.forget_others()


def _pause(entries: int) -> float:
    """Return how long to wait until the next exchange."""
    wanted = entries / EXCHANGES_A_SECOND
    return min(MOST_SECONDS, max(LEAST_SECONDS, wanted))
