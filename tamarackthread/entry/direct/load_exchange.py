"""Exchange the load of targets between entries, through a control host."""

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
from tamarackthread.shared import errors, link_pool

# Short against the duration of a call, so that few calls are unaccounted for.
# A call at a rank lasts about ten times as long.
MIN_INTERVAL_SECONDS = 0.05
# Rate limit of all entries together, which bounds the work of the control host.
# It takes a tenth of a core there at most, however many entries there are.
EXCHANGES_A_SECOND = 400
MAX_INTERVAL_SECONDS = 1.0
# A host that does not reply in time is skipped for the next one.
REPLY_TIMEOUT_SECONDS = 0.3
# The loads of other entries expire after this time without an exchange.
STALE_SECONDS = 1.0
NEVER_SENT = 0
_log = logging.getLogger('tamarackthread.entry')

ListNames = collections.abc.Callable[[], collections.abc.Sequence[str]]


class LoadExchange:
    """Exchange loads with the first control host that replies."""

    # All entries sort the hosts alike, and so use the same one.  Without a
    # host, an entry balances by its own calls.
    def __init__(
        self,
        all_targets: targets.Targets,
        links: link_pool.LinkPool,
        hosts: ListNames,
        entries: ListNames,
        on_exchange: collections.abc.Callable[[], None],
        poison: poison_requests.PoisonRequests | None = None,
    ) -> None:
        """Exchange the loads of ``all_targets`` with one of ``hosts``.

        ``on_exchange`` is called after each attempt, also if no host replied.
        Crashes of targets are exchanged as well.
        """
        self._poison = poison or poison_requests.PoisonRequests(
            '', all_targets.is_replaced
        )
        self._targets = all_targets
        self._links = links
        self._hosts = hosts
        self._entries = entries
        self._on_exchange = on_exchange
        self._host = ''
        self._epoch = 0
        self._serial = 0
        self._sums: dict[str, outlier_detection.TargetLoad] = {}
        self._sent_serial = NEVER_SENT
        self._received_serial = 0

    async def run(self) -> None:
        """Exchange periodically."""
        loop = asyncio.get_running_loop()
        exchanged_at = loop.time()
        while True:
            await asyncio.sleep(_interval(len(self._entries())))
            if await self.exchange():
                exchanged_at = loop.time()
            elif loop.time() - exchanged_at > STALE_SECONDS:
                self._forget()
            self._on_exchange()

    async def exchange(self) -> bool:
        """Exchange once; tell whether a host has replied."""
        for host in sorted(self._hosts()):
            if host != self._host:
                self._forget()
                self._host = host
            try:
                await self._exchange_with(host)
            except (errors.CodedError, TimeoutError) as exc:
                _log.debug('entry: load exchange failed, %s', exc)
                continue
            return True
        return False

    async def _exchange_with(self, host: str) -> None:
        own = self._targets.own_loads()
        crashes = self._poison.changed_rows(self._sent_serial)
        serial = self._poison.serial
        request = messages.SiteLoadRequest(
            epoch=self._epoch,
            serial=self._serial,
            own=[
                messages.SiteCalls(
                    id=target,
                    calls=load.calls,
                    answered=load.outcomes.answered,
                    failed=load.outcomes.failed,
                )
                for target, load in own.items()
            ],
            crashes=crashes or None,
            crashes_serial=self._received_serial,
        )
        async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
            reply = await self._links.request(
                host, messages.Request(site_load=request), REPLY_TIMEOUT_SECONDS
            )
        if reply.site_load is None:
            raise errors.FrameInvalid(
                'control host sent a reply of another type'
            )
        self._sent_serial = serial
        self._apply(reply.site_load, own)

    def _apply(
        self,
        reply: messages.SiteLoadReply,
        own: dict[str, outlier_detection.TargetLoad],
    ) -> None:
        if reply.epoch != self._epoch:
            self._sums = {}
            # The host has restarted and lost the reports that it was sent.
            self._sent_serial = NEVER_SENT
        self._epoch = reply.epoch
        self._serial = reply.serial
        self._received_serial = reply.crashes_serial or 0
        self._poison.learn_rows(reply.crashes or ())
        for row in reply.changed:
            outcomes = outlier_detection.OutcomeCounts(
                row.answered or 0, row.failed or 0
            )
            self._sums[row.id] = outlier_detection.TargetLoad(
                row.calls, outcomes
            )
            if self._sums[row.id] == outlier_detection.IDLE:
                self._sums.pop(row.id)
        self._targets.set_other_loads(
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
        self._sent_serial = NEVER_SENT
        self._received_serial = 0
        self._targets.forget_others()


def _interval(entries: int) -> float:
    """Return the seconds until the next exchange."""
    interval = entries / EXCHANGES_A_SECOND
    return min(MAX_INTERVAL_SECONDS, max(MIN_INTERVAL_SECONDS, interval))
