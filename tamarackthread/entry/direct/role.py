"""Run the process of an entry with direct calls."""

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
from tamarackthread.shared import (
    link_pool,
    log_events,
    process,
    process_bounds,
    stop_deadline,
)
from tamarackthread.shared.site import (
    configuration,
    feed_client,
    host_addresses,
    metrics_server,
)

# Time after the end of the drain to write the last answers.
WRITE_SECONDS = 0.3
_log = logging.getLogger('tamarackthread.entry')


class DirectEntry:
    """Hold the parts of an entry's process."""

    def __init__(
        self,
        settings: generated.Settings,
        reader: configuration.Reader,
        header_dialect: dialect.Dialect,
    ) -> None:
        """Build the parts; ``run`` starts them."""
        assert settings.site is not None
        self._site = settings.site
        self._own = settings.entry
        generator = random.Random()
        self._stopping = stop_deadline.StopDeadline()
        loop = asyncio.get_running_loop()
        self._link_binding = process.bind_links(settings)
        self._links = link_pool.LinkPool(
            self._link_binding.options,
            max_backoff_seconds=host_addresses.MAX_BACKOFF_SECONDS,
            dial_timeout_seconds=host_addresses.DIAL_TIMEOUT_SECONDS,
        )
        entries = known_entries.KnownEntries(
            self._link_binding.options.identity.address,
            lambda: self._feed_client.entries,
        )
        cold_limits = cold_start.ColdStartLimits(
            entries, self._site.cold_allowance, self._site.cold_slack
        )
        self._targets = targets.Targets(
            settings.node.zone,
            self._site.announce_seconds,
            generator,
            cold_limits,
            entries,
        )
        self._call_log = call_log.CallLog()
        self._metrics_server = metrics_server.MetricsServer()
        tables = routing_table.CurrentTable()
        admission = admission_control.AdmissionControl(
            self._targets,
            lambda: len(self._feed_client.entries),
            self._stopping,
        )
        self._feed_client = feed_client.FeedClient(
            self._site,
            self._links,
            feed_handler.FeedHandler(
                self._targets, reader, tables, admission, cold_limits
            ),
        )
        poison = poison_requests.PoisonRequests(
            settings.node.id, self._targets.is_replaced
        )
        self._load_exchange = load_exchange.LoadExchange(
            self._targets,
            self._links,
            lambda: self._feed_client.followed,
            lambda: self._feed_client.entries,
            admission.refill,
            poison,
        )
        bounds = process_bounds.of(settings.site)
        self._target_client = target_client.TargetClient(
            header_dialect, bounds.memory_bytes
        )
        self._retry_budgets = retry_budgets.RetryBudgets(
            self._site, entries.count, loop.time
        )
        self._frontend = frontend.Frontend(
            header_dialect,
            tables,
            call_runner.CallRunner(
                self._targets,
                self._target_client,
                self._retry_budgets,
                admission,
                poison,
                generator,
                self._stopping,
            ),
            generator,
            self._call_log,
            self._stopping,
            bounds.clients,
        )

    async def run(self, announce: process.Announce | None) -> None:
        """Run until asked to stop, then drain.

        Raises what has ended one of the entry's own tasks.
        """
        signalled = process.catch_stop_signals()
        await self._target_client.start()
        loop = asyncio.get_running_loop()
        working = [
            loop.create_task(self._feed_client.run()),
            loop.create_task(self._targets.run()),
            loop.create_task(self._load_exchange.run()),
            loop.create_task(self._call_log.run()),
            loop.create_task(self._retry_budgets.run()),
        ]
        http = await self._frontend.start(self._site.callers_address)
        ready = await self._frontend.start_readiness(self._site.http_address)
        await self._metrics_server.start(self._site.metrics_address)
        if announce is not None:
            announce({'http': http, 'ready': ready})
        log_events.emit(
            _log,
            log_events.Event.STARTED,
            'entry: serving callers on %s',
            http,
            address=http,
        )
        stopping = loop.create_task(signalled.wait())
        await asyncio.wait(
            (stopping, *working), return_when=asyncio.FIRST_COMPLETED
        )
        fault = process.first_failure(working)
        await self._drain()
        for work in (*working, stopping):
            work.cancel()
        self._links.close()
        if fault is not None:
            raise fault

    async def _drain(self) -> None:
        """Stop accepting calls and wait until all that were read are answered."""
        own = self._own
        self._stopping.begin(own.health_grace_seconds + own.drain_seconds)
        log_events.emit(
            _log,
            log_events.Event.STOPPING,
            'entry: draining, %d calls open',
            self._frontend.open_calls,
            open_calls=self._frontend.open_calls,
        )
        self._frontend.begin_drain()
        # The platform sends new connections until its readiness probe has
        # failed twice.  Responses ask callers to reconnect elsewhere.
        await asyncio.sleep(own.health_grace_seconds)
        self._frontend.refuse_new()
        try:
            async with asyncio.timeout_at(
                self._stopping.ends_at + WRITE_SECONDS
            ):
                await self._frontend.wait_idle()
        except TimeoutError:
            _log.warning(
                'entry: drain timed out with %d calls open',
                self._frontend.open_calls,
            )
        await self._frontend.stop()
        await self._metrics_server.stop()
        await self._target_client.close()


async def run(
    settings: generated.Settings,
    reader: configuration.Reader,
    header_dialect: dialect.Dialect,
    announce: process.Announce | None = None,
) -> None:
    """Run an entry until SIGTERM; ``announce`` gets its addresses."""
    await DirectEntry(settings, reader, header_dialect).run(announce)
