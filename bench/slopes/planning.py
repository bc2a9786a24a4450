"""Measure plans of expert maps and the choice of subsets, in processor time."""

from __future__ import annotations

import time

import numpy

from tamarackthread.policy import (
    expert_map,
    forecast,
    placement,
    subset_ranking,
    subsets,
)

from bench.slopes import fit

MILLI = 1e3
MICRO = 1e6
SEED = 5
SLOTS_OVER = 1.25
TRUST_SECONDS = 300
LAYERS = 16
GROUP_LAYERS = (16, 32, 58)
QUICK_GROUP_LAYERS = (4, 8, 16)
EXPERTS = 256
EXPERTS_A_RANK = 8
RANKS = 32
JOINING = 21


def run(quick: bool) -> list[fit.Slope]:
    """Measure plans by ranks, experts and layers, and subsets by pairs."""
    runs = 1 if quick else 3
    layers = LAYERS // 4 if quick else LAYERS
    by_ranks = [
        (float(ranks), _plan_seconds(layers, ranks * EXPERTS_A_RANK, ranks))
        for ranks in (8, 16, 32)
        for _ in range(runs)
    ]
    by_experts = [
        (float(experts), _plan_seconds(layers, experts, RANKS))
        for experts in (64, 128, 256)
        for _ in range(runs)
    ]
    counts = QUICK_GROUP_LAYERS if quick else GROUP_LAYERS
    by_layers = [
        (float(count), _plan_seconds(count, EXPERTS, RANKS))
        for count in counts
        for _ in range(runs)
    ]
    each_layer = MILLI / layers
    return [
        fit.fit(
            'plan_cpu_by_ranks',
            'ms a rank and layer',
            by_ranks,
            each_layer,
        ),
        fit.fit(
            'plan_cpu_by_experts',
            'ms an expert and layer',
            by_experts,
            each_layer,
        ),
        fit.fit('plan_cpu_by_layers', 'ms a layer', by_layers, MILLI),
        *_subsets(quick),
    ]


def _plan_seconds(layers: int, experts: int, size: int) -> float:
    shape = expert_map.GroupShape(
        layers=layers,
        experts=experts,
        ranks=size,
        slots=int(experts * SLOTS_OVER) // size,
    )
    random = numpy.random.default_rng(SEED)
    shares = random.dirichlet(numpy.ones(experts), layers)
    cold = expert_map.cold_start(shape)
    planner = placement.IncrementalPlanner(placement.EVEN)
    began = time.process_time()
    planner.plan(cold, forecast.LoadForecast(shares, TRUST_SECONDS))
    return time.process_time() - began


def _subsets(quick: bool) -> list[fit.Slope]:
    starting = []
    joining = []
    targets = 140
    sizes = (20, 60, 120) if quick else (60, 120, 240, 370)
    for entries in sizes:
        known = _places('entry', entries)
        ranked = subset_ranking.RankedTargets(known['entry-0'])
        began = time.process_time()
        ranked.set_entries(known)
        ranked.set_targets(_places('target', targets))
        spent = time.process_time() - began
        starting.append((float(entries * targets), spent))
    for count in (targets, targets * 5, targets * 15):
        ranked = subset_ranking.RankedTargets(_place('entry', 0))
        ranked.set_targets(_places('target', count))
        began = time.process_time()
        ranked.set_entries(_places('entry', JOINING))
        spent = (time.process_time() - began) / (JOINING - 1)
        joining.append((float(count), spent))
    return [
        fit.fit('subset_start_cpu', 'us an entry and target', starting, MICRO),
        fit.fit('subset_join_cpu', 'us a target', joining, MICRO),
    ]


def _places(kind: str, count: int) -> dict[str, subsets.Endpoint]:
    places = [_place(kind, number) for number in range(count)]
    return {place.name: place for place in places}


def _place(kind: str, number: int) -> subsets.Endpoint:
    return subsets.Endpoint(f'{kind}-{number}', f'zone-{number % 14}')
