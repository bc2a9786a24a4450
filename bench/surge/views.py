"""Give the policies what an entry knows."""

from __future__ import annotations

import asyncio

import attrs

from bench.surge import fleet, workload
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import (
    admission,
    calls,
    ejection,
    routing,
    target_load,
)

NONE_TRIED: frozenset[str] = frozenset()


def facts(
    call: workload.Offered,
    deadline: float,
    tried: frozenset[str] = NONE_TRIED,
) -> calls.CallFacts:
    """Tell a policy what an entry knows; the answer's length is a guess."""
    answer = 0
    if call.service == workload.MODEL:
        answer = workload.MEAN_ANSWER_TOKENS
        if call.priority == calls.Priority.URGENT:
            answer = workload.URGENT_ANSWER_TOKENS
    return calls.CallFacts(
        organisation=call.organisation,
        deadline=deadline,
        priority=calls.Priority(call.priority),
        prompt_tokens=call.prompt_tokens,
        answer_tokens=answer,
        prefixes=call.prefixes,
        idempotent=call.service == workload.MODEL,
        excluded=tried,
    )


def build_views(
    own_fleet: fleet.Fleet,
    settings: target_load.LoadSettings | None = None,
) -> dict[str, list[routing.TargetView]]:
    """Build one entry's views of all targets, by service."""
    views: dict[str, list[routing.TargetView]] = {}
    for service, replicas in own_fleet.engines.items():
        views[service] = [
            routing.TargetView(
                name=replica.name,
                zone=replica.zone,
                load=target_load.TargetLoad(settings),
            )
            for replica in replicas
        ]
    return views


@attrs.define(slots=True, eq=False)
class Receiver:
    """Take in the load reports of one entry."""

    views: dict[str, list[routing.TargetView]]
    ejections: dict[str, ejection.Ejection] = attrs.field(factory=dict)
    admissions: dict[str, admission.Admission] = attrs.field(factory=dict)

    def __call__(self, report: messages.LoadReport) -> None:
        """Pass a report on to all who decide by it."""
        now = asyncio.get_running_loop().time()
        for service, listed in self.views.items():
            for view in listed:
                if view.name == report.target:
                    self._apply(service, view, report, now)

    def _apply(
        self,
        service: str,
        view: routing.TargetView,
        report: messages.LoadReport,
        now: float,
    ) -> None:
        if not view.load.report(report, now):
            return
        view.prefixes.observe(report.prefixes, report.prefix_sequence)
        judge = self.ejections.get(service)
        if judge is None:
            return
        judge.observe_step(
            view.name,
            view.load.step_seconds * 1000,
            report.running,
            now,
        )
        for other in self.views[service]:
            other.share = judge.share(other.name, now)
        self.admissions[service].wake()
