"""Run an entry of a site."""

from __future__ import annotations

import asyncio
import logging
import random

from tamarackthread.entry.direct import (
    admission_control,
    call_log,
    call_runner,
    dialect,
    feed_handler,
    frontend,
    load_exchange,
    poison_requests,
    retry_budgets,
    routing_table,
    target_client,
    targets,
)
from tamarackthread.generated import settings as generated
from tamarackthread.policy import cold_start, known_entries
from tamarackthread.shared import log_events, peers, process
from tamarackthread.shared.site import configuration, figures, following, places

_log = logging.getLogger('tamarackthread.entry')


class DirectEntry:
    """Hold the parts of an entry's process."""

    def __init__(
        self,
        settings: generated.Settings,
        reader: configuration.Reader,
        spoken: dialect.Dialect,
    ) -> None:
        """Build the parts; ``run`` starts them."""
        assert settings.site is not None
        self._site = settings.site
        self._own = settings.entry
        generator = random.Random()
        loop = asyncio.get_running_loop()
        self._place = process.take_place(settings)
        self._links = peers.Peers(
            self._place.options,
            most_backoff=places.MOST_BACKOFF_SECONDS,
            dial_seconds=places.DIAL_SECONDS,
        )
        fleet = known_entries.KnownEntries(
            self._place.options.identity.address,
            lambda: self._follower.entries,
        )
        shares = cold_start.ColdStartLimits(
            fleet, self._site.cold_allowance, self._site.cold_slack
        )
        self._targets = targets.Targets(
            settings.node.zone,
            self._site.announce_seconds,
            generator,
            shares,
            fleet,
        )
        self._ledger = call_log.CallLog()
        self._page = figures.Page()
        tables = routing_table.CurrentTable()
        admission = admission_control.AdmissionControl(
            self._targets, lambda: len(self._follower.entries)
        )
        self._follower = following.Follower(
            self._site,
            self._links,
            feed_handler.FeedHandler(
                self._targets, reader, tables, admission, shares
            ),
        )
        suspected = poison_requests.PoisonRequests()
        self._sharing = load_exchange.LoadExchange(
            self._targets,
            self._links,
            lambda: self._follower.followed,
            lambda: self._follower.entries,
            admission.share,
            suspected,
        )
        self._sender = target_client.TargetClient(spoken)
        self._front = frontend.Frontend(
            spoken,
            tables,
            call_runner.CallRunner(
                self._targets,
                self._sender,
                retry_budgets.RetryBudgets(
                    self._site,
                    lambda: len(self._follower.entries),
                    loop.time,
                ),
                admission,
                suspected,
                generator,
            ),
            generator,
            self._ledger,
        )

    async def run(self, announce: process.Announce | None) -> None:
        """Run until asked to stop, then end without cutting anything off.

        Raises what has ended one of the entry's own tasks.
        """
        await self._sender.start()
        loop = asyncio.get_running_loop()
        working = [
            loop.create_task(self._follower.run()),
            loop.create_task(self._targets.run()),
            loop.create_task(self._sharing.run()),
            loop.create_task(self._ledger.run()),
        ]
        http = await self._front.start(self._site.callers_address)
        ready = await self._front.start_readiness(self._site.http_address)
        await self._page.start(self._site.metrics_address)
        if announce is not None:
            announce({'http': http, 'ready': ready})
        log_events.tell(
            _log,
            log_events.Event.STARTED,
            'entry: serves callers on %s',
            http,
            address=http,
        )
        stopping = loop.create_task(process.stop_asked())
        await asyncio.wait(
            (stopping, *working), return_when=asyncio.FIRST_COMPLETED
        )
        fault = process.first_fault(working)
        await self._leave()
        for work in (*working, stopping):
            work.cancel()
        self._links.close()
        if fault is not None:
            raise fault

    async def _leave(self) -> None:
        """Stop in order: not ready, then no new call, then nothing open.

        The platform sends new connections here until it has asked twice, so
        the address stays open for that long.  Callers with an open connection
        are asked at each answer to make a new one, which goes elsewhere.
        """
        log_events.tell(
            _log,
            log_events.Event.STOPPING,
            'entry: leaves, %d calls open',
            self._front.open_calls,
            open_calls=self._front.open_calls,
        )
        self._front.leave()
        await asyncio.sleep(self._own.health_grace_seconds)
        self._front.refuse_new()
        try:
            async with asyncio.timeout(self._own.drain_seconds):
                await self._front.wait_idle()
        except TimeoutError:
            _log.warning(
                'entry: ends with %d calls open', self._front.open_calls
            )
        await self._front.stop()
        await self._page.stop()
        await self._sender.close()


async def run(
    settings: generated.Settings,
    reader: configuration.Reader,
    spoken: dialect.Dialect,
    announce: process.Announce | None = None,
) -> None:
    """Run an entry until SIGTERM; ``announce`` gets its addresses."""
    await DirectEntry(settings, reader, spoken).run(announce)
