"""Measure plans of expert maps and the choice of subsets, in processor time."""

from __future__ import annotations

import time

import numpy

from tamarackthread.policy import expert_map, forecast, placement, subsets

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
        _subsets(quick),
    ]


def _plan_seconds(layers: int, experts: int, ranks: int) -> float:
    shape = expert_map.GroupShape(
        layers=layers,
        experts=experts,
        ranks=ranks,
        slots=int(experts * SLOTS_OVER) // ranks,
    )
    random = numpy.random.default_rng(SEED)
    shares = random.dirichlet(numpy.ones(experts), layers)
    cold = expert_map.cold_start(shape)
    planner = placement.IncrementalPlanner(placement.EVEN)
    began = time.process_time()
    planner.plan(cold, forecast.Outlook(shares, TRUST_SECONDS))
    return time.process_time() - began


def _subsets(quick: bool) -> fit.Slope:
    points = []
    for entries, targets in ((20, 100), (60, 140), (120, 300), (370, 140)):
        if quick and entries * targets > 40_000:
            continue
        names = [_place('entry', number) for number in range(entries)]
        known = [_place('target', number) for number in range(targets)]
        began = time.process_time()
        subsets.Subsets().choose('entry-0', names, known)
        spent = time.process_time() - began
        points.append((float(entries * targets), spent))
    return fit.fit('subset_cpu', 'us an entry and target', points, MICRO)


def _place(kind: str, number: int) -> subsets.Place:
    return subsets.Place(f'{kind}-{number}', f'zone-{number % 14}')
