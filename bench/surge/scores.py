"""Turn the callers' results into the fields of the experiment."""

from __future__ import annotations

import collections.abc

from bench.surge import capacity, players, workload

AT_ONCE_SECONDS = 0.02


def score(
    results: list[players.Result],
    completed: dict[str, dict[int, int]],
) -> dict[str, float]:
    """Work out the fields for one balancer over one wave."""
    urgent = _share_of(results, _is_urgent)
    small = _share_of(results, _is_small)
    late = _count(results, players.Outcome.LATE)
    refused = [
        result.ended
        for result in results
        if result.outcome == players.Outcome.REFUSED
    ]
    return {
        'goodput_share': goodput(results, completed),
        'first_token_p95_ms': 1000 * percentile(_first_tokens(results), 0.95),
        'urgent_late': len(urgent) - _count(urgent, players.Outcome.ON_TIME),
        'small_organisation_on_time_share': (
            _count(small, players.Outcome.ON_TIME) / max(1, len(small))
        ),
        'late_instead_of_refused': late,
        'calls': len(results),
        'on_time': _count(results, players.Outcome.ON_TIME),
        'refused': len(refused),
        'refusal_p95_ms': 1000 * percentile(refused, 0.95),
        'refused_at_once_share': (
            sum(seconds < AT_ONCE_SECONDS for seconds in refused)
            / max(1, len(refused))
        ),
    }


def goodput(
    results: list[players.Result],
    completed: dict[str, dict[int, int]],
) -> float:
    """Divide the answers on time by the calls that the capacity allows."""
    answered = _count(results, players.Outcome.ON_TIME)
    total: float = 0
    for service, windows in completed.items():
        arrivals: dict[int, int] = {}
        for result in results:
            if result.call.service != service:
                continue
            window = int(result.call.at / capacity.WINDOW_SECONDS)
            arrivals[window] = arrivals.get(window, 0) + 1
        total += capacity.allowed(arrivals, windows)
    return answered / total


def percentile(values: list[float], part: float) -> float:
    """Return the value below which ``part`` of the values lie."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _first_tokens(results: list[players.Result]) -> list[float]:
    """List first tokens; an admitted call without one counts its patience."""
    found = []
    for result in results:
        if result.call.service != workload.MODEL:
            continue
        if result.outcome == players.Outcome.REFUSED:
            continue
        if result.first_token is None:
            found.append(result.call.patience)
            continue
        found.append(result.first_token)
    return found


def _share_of(
    results: list[players.Result],
    wanted: collections.abc.Callable[[players.Result], bool],
) -> list[players.Result]:
    return [result for result in results if wanted(result)]


def _is_urgent(result: players.Result) -> bool:
    return result.call.priority == 0


def _is_small(result: players.Result) -> bool:
    return result.call.is_small


def _count(
    results: list[players.Result],
    outcome: players.Outcome,
) -> int:
    return sum(result.outcome == outcome for result in results)
