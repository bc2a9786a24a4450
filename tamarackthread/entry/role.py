"""Run an entry on a thin host in front of the targets."""

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
    link,
    listener,
    metrics,
    parents,
    peers,
    process,
    relay,
)

LAPSED_RETRY_SECONDS = 1.0
OUTCOMES_SECONDS = 10.0
MEASURE_SECONDS = 10.0
ANNOUNCE_SECONDS = 1.0
_log = logging.getLogger('tamarackthread.entry')


class EntryHandler(link.Handler):
    """Relay the configuration to other nodes of the zone."""

    def __init__(self, known: feed.ConfigFeed) -> None:
        """Serve what the feed holds."""
        self._relay = relay.FeedServer(known, known.below, relay.Limits())

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
    """Hold the parts of an entry's process."""

    def __init__(self, settings: generated.Settings) -> None:
        """Build the parts; ``run`` starts them."""
        self._settings = settings
        self._own = settings.entry
        self._place = process.take_place(settings)
        rng = random.Random()
        self._directory = directory.Directory()
        self._fleet = fleet.Fleet(
            settings.node.id,
            settings.node.zone,
            self._directory,
            rng,
        )
        self._peers = peers.Peers(self._place.options, self._fleet)
        self._fleet.set_peers(self._peers)
        self._feed = feed.ConfigFeed(
            self._peers,
            self._place.options.identity,
            parents.AnyParent(settings.control_addresses, rng),
            settings.feed.wait_seconds,
        )
        self._metrics = metrics.Metrics(settings.statsd)
        self._announcer = announcer.Announcer(
            announcer.AnnouncedEntry(self._place.options.identity),
            self._peers,
            self._feed,
            tuple(settings.control_addresses),
            ANNOUNCE_SECONDS,
        )
        self._meter = overload.LagMeter()
        self._overload = overload.OverloadGuard(
            self._meter,
            overload.OverloadSettings(
                most_lag=self._own.loop_lag_limit_seconds,
                most_calls=self._own.call_limit,
            ),
        )
        self._caps = rate_leases.RateLeaser(
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
        self._claimed = keyed_claim.KeyedClaims(
            client,
            takeover.Takeover(client, takeover.LinkProber(self._peers)),
            self._metrics,
        )
        self._front = frontend.Frontend(
            self._own,
            request_reader.RequestReader(self._directory, self._own),
            calls.CallRunner(
                self._fleet,
                rng,
                lambda: self._feed.revision,
                self._claimed,
            ),
            self._check,
            self._feed.is_current,
            self._metrics,
        )
        self._listener = listener.Listener(
            self._place.options,
            EntryHandler(self._feed),
        )

    async def run(self, announce: process.Announce | None) -> None:
        """Run until asked to stop, then end without cutting anything off."""
        address = await self._listener.start_on(self._place.bound)
        self._feed.subscribe(self._follow)
        self._feed.start()
        loop = asyncio.get_running_loop()
        working = [
            loop.create_task(self._meter.run()),
            loop.create_task(self._caps.run()),
            loop.create_task(self._announcer.run()),
            loop.create_task(self._measure()),
        ]
        http = await self._front.start()
        if announce is not None:
            announce({'link': address, 'http': http})
        _log.info('entry: serves callers on %s', http)
        await process.stop_asked()
        await self._leave()
        for work in working:
            work.cancel()

    async def _measure(self) -> None:
        """Report this process's own levels for ever."""
        while True:
            await asyncio.sleep(MEASURE_SECONDS)
            running = self._front.open_calls
            self._metrics.level(metrics.Gauge.CALLS_RUNNING, running)
            self._metrics.level(metrics.Gauge.REVISION, self._feed.revision)
            self._metrics.level(metrics.Gauge.LINKS, len(self._peers.links))
            self._metrics.time(metrics.Timer.LOOP_LAG, self._meter.lag)

    def _follow(self, held: catalogue.Catalogue) -> None:
        self._directory.update(held)
        self._fleet.update()
        self._caps.update_limits()

    def _check(self, call: calls.Call, open_calls: int) -> None:
        rules = call.profile.configuration
        # An entry that is cut off would go on serving a profile that the
        # operator has replaced.  Without a lease it refuses, so an accepted
        # change is in force everywhere once the lease has ended; the caller
        # is told 'not run' and the platform's balancer turns elsewhere.
        if not self._feed.is_current(rules.lease_seconds):
            if rules.lapse == 'refuse':
                raise failures.ConfigurationLapsed(
                    retry_after=LAPSED_RETRY_SECONDS,
                )
        now = asyncio.get_running_loop().time()
        self._overload.check(call.facts, open_calls, now)

    def _shards(self) -> tuple[claim_keys.Shard, ...]:
        return self._directory.shards(tuple(self._settings.control_addresses))

    async def _leave(self) -> None:
        _log.info('entry: leaves, %d calls open', self._front.open_calls)
        self._front.fail_readiness()
        await asyncio.sleep(self._own.health_grace_seconds)
        self._front.refuse_calls()
        await process.drained(
            self._front.wait_idle(),
            self._own.drain_seconds,
            _log,
            'entry: calls are still open, stop them or wait?',
        )
        await self._front.stop()
        # An outcome that isn't recorded leaves its key unsettled: the second
        # try would wait and ask the agent, though all is known here.
        await self._claimed.wait_idle(OUTCOMES_SECONDS)
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
