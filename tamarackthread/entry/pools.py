"""Build a service's queue, routing and ejection as its profile says."""

from __future__ import annotations

import asyncio
import collections.abc
import random

import attrs

from tamarackthread.entry import directory
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import (
    admission,
    affinity,
    allocator,
    buckets,
    ejection,
    fairness,
    migration,
    preemption,
    retries,
    routing,
    target_load,
)
from tamarackthread.shared import link


@attrs.define(eq=False)
class TargetConnection:
    """One target that this entry keeps a link to."""

    name: str
    details: generated.Target
    view: routing.TargetView
    current_link: link.Link | None = None
    connect_failed: bool = False
    connect_task: asyncio.Task[None] | None = None

    @property
    def is_linked(self) -> bool:
        """Tell whether there is an open link to the target's agent."""
        return self.current_link is not None and not self.current_link.is_closed

    @property
    def accepts_calls(self) -> bool:
        """Tell whether new calls may be sent there."""
        return self.is_linked and not self.details.leaving


class OrganisationShares(fairness.Shares):
    """Give each organisation the weight that its document says."""

    def __init__(self, known: directory.Directory) -> None:
        """Look weights up in the directory at each use."""
        self._directory = known

    def weight(self, organisation: str) -> float:
        """Return the weight, 1 for an organisation that is gone."""
        found = self._directory.organisations.get(organisation)
        return 1 if found is None else found.weight


@attrs.frozen
class PoolContext:
    """What every pool of an entry shares."""

    zone: str
    directory: directory.Directory
    portions: buckets.Portions
    rng: random.Random


class Pool:
    """Hold the targets of one service and the queue in front of them.

    A new profile replaces the queue and the rules for calls that come from
    then on; calls that were admitted or wait under the old one end there.
    """

    def __init__(
        self,
        service: str,
        profile: generated.Profile,
        around: PoolContext,
    ) -> None:
        """Start without targets."""
        self._service = service
        self._around = around
        self._connections: dict[str, TargetConnection] = {}
        self._apply(profile)

    @property
    def service(self) -> str:
        """Give the service's name."""
        return self._service

    @property
    def profile(self) -> generated.Profile:
        """Give the profile in use."""
        return self._profile

    @property
    def admission(self) -> admission.Admission:
        """Give the queue for new calls."""
        return self._admission

    @property
    def connections(self) -> collections.abc.Mapping[str, TargetConnection]:
        """Give the targets by name."""
        return self._connections

    def set_profile(self, profile: generated.Profile) -> None:
        """Put a profile in use if it differs from the one in use."""
        if profile != self._profile:
            self._apply(profile)

    def add(self, name: str, details: generated.Target) -> TargetConnection:
        """Add a target that is not linked yet."""
        rules = self._profile.routing
        view = routing.TargetView(
            name=name,
            zone=details.zone,
            load=target_load.TargetLoad(
                target_load.LoadSettings(
                    half_life_seconds=rules.report_age_limit_seconds / 2,
                ),
            ),
            prefixes=affinity.PrefixView(),
        )
        connection = TargetConnection(name=name, details=details, view=view)
        self._connections[name] = connection
        return connection

    def remove(self, name: str) -> None:
        """Drop a target; its calls in flight go on."""
        connection = self._connections.pop(name)
        self._ejection.forget(name)
        if connection.connect_task is not None:
            connection.connect_task.cancel()

    def is_usable(self, name: str) -> bool:
        """Tell whether a target is linked, or was not dialled in vain."""
        connection = self._connections.get(name)
        return connection is None or not connection.connect_failed

    def refresh(self) -> None:
        """Offer the linked targets to new calls and serve the queue."""
        self._place.set_targets(
            [
                connection.view
                for connection in self._connections.values()
                if connection.accepts_calls
            ],
        )
        self._admission.wake()

    def apply_report(self, report: messages.LoadReport) -> None:
        """Take in a target's report of its load."""
        connection = self._connections.get(report.target)
        if connection is None:
            return
        now = asyncio.get_running_loop().time()
        view = connection.view
        if not view.load.report(report, now):
            return
        view.prefixes.observe(
            report.prefixes or (),
            report.prefix_sequence or 0,
        )
        step_ms = view.load.step_seconds * 1000
        self._ejection.observe_step(
            view.name, step_ms, report.running or 0, now
        )
        self._share(view.name, now)
        self._admission.wake()

    def record_result(self, target: str, is_good: bool) -> None:
        """Count how a call ended at a target."""
        now = asyncio.get_running_loop().time()
        self._ejection.record_result(target, is_good, now)
        self._share(target, now)

    def _share(self, changed: str, now: float) -> None:
        """Set the share of a target that was judged, and of those on return.

        All others keep their whole share, so that a report costs the same
        whatever the size of the subset.
        """
        for name in (changed, *self._reduced):
            connection = self._connections.get(name)
            if connection is None:
                self._reduced.discard(name)
                continue
            connection.view.share = self._ejection.share(name, now)
            if connection.view.share < 1:
                self._reduced.add(name)
            else:
                self._reduced.discard(name)

    def _apply(self, profile: generated.Profile) -> None:
        self._profile = profile
        self._ejection = ejection.Ejection(_ejection_settings(profile))
        self._reduced: set[str] = set()
        for connection in self._connections.values():
            connection.view.share = 1
        self._place = allocator.TargetAllocator(
            self._routing(profile),
            allocator.AllocatorSettings(
                reserved_share=profile.admission.urgent_reserve_share,
            ),
        )
        self._admission = admission.Admission(
            self._place,
            OrganisationShares(self._around.directory),
            self._around.rng,
            admission.AdmissionSettings(
                first_token_seconds=profile.admission.first_token_seconds,
                queue_limit=profile.admission.queue_limit,
            ),
            portions=self._around.portions,
            preempt=_preemption(profile),
            move=_moves(profile),
        )
        self.refresh()

    def _routing(self, profile: generated.Profile) -> routing.RoutingPolicy:
        rules = profile.routing
        rng = self._around.rng
        if rules.policy == 'round_robin':
            return routing.RoundRobin()
        if rules.policy == 'least_load':
            return routing.LeastReportedLoad(rng)
        return routing.ExpectedFirstToken(
            self._around.zone,
            rng,
            routing.RoutingSettings(
                affinity_load_factor=rules.affinity_load_ratio,
                cross_zone_seconds=rules.zone_spill_seconds,
            ),
        )


def _ejection_settings(
    profile: generated.Profile,
) -> ejection.EjectionSettings:
    rules = profile.ejection
    return ejection.EjectionSettings(
        slow_factor=rules.step_ratio,
        slow_seconds=rules.observe_seconds,
        max_ejected_share=rules.share_limit,
        slow_start_seconds=max(rules.return_seconds, 1e-3),
    )


def _preemption(profile: generated.Profile) -> preemption.PreemptionPolicy:
    if profile.admission.preemption and profile.resume.enabled:
        return preemption.LowestPriorityFirst()
    return preemption.NoPreemption()


def _moves(profile: generated.Profile) -> migration.MigrationPolicy:
    if not profile.resume.enabled:
        return migration.NeverMigrate()
    rules = profile.retries
    budget = retries.RetryBudget(
        retries.RetrySettings(
            ratio=rules.budget_share,
            min_rate=rules.budget_per_second,
        ),
        asyncio.get_running_loop().time(),
    )
    return migration.MigrateLateStreams(budget)
