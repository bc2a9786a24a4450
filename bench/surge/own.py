"""Balance with the product's own classes."""

from __future__ import annotations

import asyncio
import functools
import random

import attrs

from bench.surge import fleet, players, views, workload
from tamarackthread.policy import (
    admission,
    allocator,
    ejection,
    fairness,
    migration,
    retries,
    routing,
    target_load,
)
from tamarackthread.shared import errors


def _admission_settings() -> dict[str, admission.AdmissionSettings]:
    """Give the plain service the longer wait that its calls can bear."""
    return {
        workload.MODEL: admission.AdmissionSettings(),
        workload.PLAIN: admission.AdmissionSettings(first_token_seconds=1),
    }


@attrs.frozen(slots=True, kw_only=True)
class OwnSettings:
    """Hold the settings of the product in the experiment."""

    load: target_load.LoadSettings = attrs.field(
        factory=functools.partial(target_load.LoadSettings, entries=3),
    )
    admission: dict[str, admission.AdmissionSettings] = attrs.field(
        factory=_admission_settings,
    )
    room: allocator.AllocatorSettings = attrs.field(
        factory=allocator.AllocatorSettings
    )
    routing: routing.RoutingSettings = attrs.field(
        factory=routing.RoutingSettings,
    )
    ejection: ejection.EjectionSettings = attrs.field(
        factory=ejection.EjectionSettings,
    )


class Ours(players.Player):
    """Admit, queue and route with the product's own classes."""

    def __init__(
        self,
        own_fleet: fleet.Fleet,
        seed: int,
        settings: OwnSettings | None = None,
    ) -> None:
        """Build one admission for each entry and service."""
        super().__init__(own_fleet)
        settings = settings or OwnSettings()
        self._settings = settings
        self._views = []
        self._admissions: list[dict[str, admission.Admission]] = []
        self._ejections: list[dict[str, ejection.Ejection]] = []
        for rank, zone in enumerate(workload.ZONES):
            known = views.build_views(own_fleet, settings.load)
            generator = random.Random(seed + rank)
            self._views.append(known)
            self._admissions.append(
                {
                    service: _admission(
                        service, zone, listed, generator, settings
                    )
                    for service, listed in known.items()
                },
            )
            self._ejections.append(
                {
                    service: ejection.Ejection(settings.ejection)
                    for service in known
                },
            )

    def receivers(self) -> list[fleet.Receive]:
        """Return one receiver for each entry."""
        return [
            views.Receiver(
                self._views[rank],
                self._ejections[rank],
                self._admissions[rank],
            )
            for rank in range(len(workload.ZONES))
        ]

    async def answer(self, call: workload.Offered, deadline: float) -> None:
        """Wait for a ticket, run the call, run it again when pre-empted."""
        gate = self._admissions[call.entry][call.service]
        wanted = views.facts(call, deadline)
        done = False
        while not done:
            ticket = await gate.submit(wanted)
            try:
                done = await self._run(call, ticket)
            finally:
                ticket.release()
            wanted = ticket.resumed

    async def _run(
        self,
        call: workload.Offered,
        ticket: admission.Ticket,
    ) -> bool:
        transfer = await self._send(call, ticket.target, ticket)
        if transfer is None:
            raise errors.CodedError('full', retry_after=1)
        if call.service == workload.PLAIN:
            await self._wait(transfer)
            return True
        watch = asyncio.ensure_future(ticket.preempted.wait())
        work = asyncio.ensure_future(self._wait(transfer))
        try:
            await asyncio.wait(
                (watch, work),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            watch.cancel()
            work.cancel()
        return not ticket.preempted.is_set()


def _admission(
    service: str,
    zone: str,
    targets: list[routing.TargetView],
    generator: random.Random,
    settings: OwnSettings,
) -> admission.Admission:
    policy = routing.ExpectedFirstToken(zone, generator, settings.routing)
    place = allocator.TargetAllocator(policy, settings.room)
    place.set_targets(targets)
    budget = retries.RetryBudget(retries.RetrySettings(), 0)
    return admission.Admission(
        place,
        fairness.EqualShares(),
        generator,
        settings.admission[service],
        move=migration.MigrateLateStreams(budget),
    )
