"""Run the process of an entry."""

from __future__ import annotations

import asyncio
import logging
import random

from tamarackthread.entry import (
    calls,
    directory,
    failures,
    fleet,
    frontend,
    keyed_claim,
    rate_leases,
    request_reader,
    shard_claim_client,
    takeover,
)
from tamarackthread.generated import settings as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import overload
from tamarackthread.shared import (
    announcer,
    catalogue,
    claim_keys,
    errors,
    feed,
    feed_server,
    link,
    link_pool,
    listener,
    metrics,
    parents,
    process,
)

LAPSED_RETRY_SECONDS = 1.0
RECORD_OUTCOMES_SECONDS = 10.0
GAUGE_SECONDS = 10.0
ANNOUNCE_SECONDS = 1.0
_log = logging.getLogger('tamarackthread.entry')


class EntryHandler(link.Handler):
    """Relay the configuration to other nodes of the zone."""

    def __init__(self, source: feed.ConfigFeed) -> None:
        """Serve the configuration of this entry's feed."""
        self._relay = feed_server.FeedServer(
            source, source.descendants, feed_server.Limits()
        )

    async def on_request(
        self,
        link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Answer a request for the configuration."""
        if request.feed is None:
            raise errors.RequestUnsupported
        return await self._relay.answer(link, request.feed)


class Entry:
    """The components of an entry's process."""

    def __init__(self, settings: generated.Settings) -> None:
        """Build the components; ``run`` starts them."""
        self._settings = settings
        self._limits = settings.entry
        self._link_binding = process.bind_links(settings)
        rng = random.Random()
        self._directory = directory.Directory()
        self._fleet = fleet.Fleet(
            settings.node.id,
            settings.node.zone,
            self._directory,
            rng,
        )
        self._peers = link_pool.LinkPool(
            self._link_binding.options, self._fleet
        )
        self._fleet.set_peers(self._peers)
        self._feed = feed.ConfigFeed(
            self._peers,
            self._link_binding.options.identity,
            parents.RandomParentSelector(settings.control_addresses, rng),
            settings.feed.wait_seconds,
        )
        self._metrics = metrics.Metrics(settings.statsd)
        self._announcer = announcer.Announcer(
            announcer.AnnouncedEntry(self._link_binding.options.identity),
            self._peers,
            self._feed,
            tuple(settings.control_addresses),
            ANNOUNCE_SECONDS,
        )
        self._meter = overload.LagMeter()
        self._overload = overload.OverloadGuard(
            self._meter,
            overload.OverloadSettings(
                max_lag=self._limits.loop_lag_limit_seconds,
                max_calls=self._limits.call_limit,
            ),
        )
        self._rate_leases = rate_leases.RateLeaser(
            settings.node.id,
            settings.node.zone,
            self._directory,
            self._fleet.portions,
            self._peers,
            tuple(settings.control_addresses),
        )
        client = shard_claim_client.ShardClaimClient(
            self._peers,
            self._shards,
            settings.node.id,
            rng,
        )
        self._claims = keyed_claim.KeyedClaims(
            client,
            takeover.Takeover(client, takeover.LinkProber(self._peers)),
            self._metrics,
        )
        self._frontend = frontend.Frontend(
            self._limits,
            request_reader.RequestReader(self._directory, self._limits),
            calls.CallRunner(
                self._fleet,
                rng,
                lambda: self._feed.revision,
                self._claims,
            ),
            self._check,
            self._feed.is_ready,
            self._metrics,
        )
        self._listener = listener.Listener(
            self._link_binding.options,
            EntryHandler(self._feed),
        )

    async def run(self, announce: process.Announce | None) -> None:
        """Run until asked to stop, then drain the open calls."""
        stopping = process.catch_stop_signals()
        address = await self._listener.start_on_socket(self._link_binding.bound)
        self._feed.subscribe(self._apply_configuration)
        self._feed.start()
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(self._meter.run()),
            loop.create_task(self._rate_leases.run()),
            loop.create_task(self._announcer.run()),
            loop.create_task(self._report_gauges()),
        ]
        http = await self._frontend.start()
        if announce is not None:
            announce({'link': address, 'http': http})
        _log.info('entry: serves callers on %s', http)
        await stopping.wait()
        await self._stop()
        for task in tasks:
            task.cancel()

    async def _report_gauges(self) -> None:
        """Report this process's gauges at an interval."""
        while True:
            await asyncio.sleep(GAUGE_SECONDS)
            running = self._frontend.open_calls
            self._metrics.level(metrics.Gauge.CALLS_RUNNING, running)
            self._metrics.level(metrics.Gauge.REVISION, self._feed.revision)
            self._metrics.level(metrics.Gauge.LINKS, len(self._peers.links))
            self._metrics.time(metrics.Timer.LOOP_LAG, self._meter.lag)

    def _apply_configuration(self, changed: catalogue.Catalogue) -> None:
        self._directory.update(changed)
        self._fleet.update()
        self._rate_leases.update_limits()

    def _check(self, call: calls.Call, open_calls: int) -> None:
        rules = call.profile.configuration
        # Without a lease the configuration may be outdated.  Refusing calls
        # puts an accepted change in force on all entries when leases expire.
        if not self._feed.is_ready(rules.lease_seconds):
            if rules.lapse == 'refuse':
                raise failures.ConfigurationLapsed(
                    retry_after=LAPSED_RETRY_SECONDS,
                )
        now = asyncio.get_running_loop().time()
        self._overload.check(call.facts, open_calls, now)

    def _shards(self) -> tuple[claim_keys.Shard, ...]:
        return self._directory.shards(tuple(self._settings.control_addresses))

    async def _stop(self) -> None:
        _log.info('entry: stopping, %d calls open', self._frontend.open_calls)
        self._frontend.fail_readiness()
        await asyncio.sleep(self._limits.health_grace_seconds)
        self._frontend.refuse_calls()
        await process.wait_until_idle(
            self._frontend.wait_idle(),
            self._limits.drain_seconds,
            _log,
            'entry: calls are still open, stop them or wait?',
        )
        await self._frontend.stop()
        # Without its outcome recorded, a repeated key must probe the agent.
        await self._claims.wait_idle(RECORD_OUTCOMES_SECONDS)
        await self._feed.stop()
        self._fleet.close()
        self._listener.close()
        self._peers.close()


async def run(
    settings: generated.Settings,
    announce: process.Announce | None = None,
) -> None:
    """Run an entry until SIGTERM; ``announce`` gets its addresses."""
    await Entry(settings).run(announce)
