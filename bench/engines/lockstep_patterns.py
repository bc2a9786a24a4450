"""Name the loads that press a group of ranks, and the ways to place them."""

from __future__ import annotations

import attrs

from bench.engines import call_bounds, pace
from tamarackthread.policy import concurrency


@attrs.frozen(kw_only=True)
class Site:
    """A group, its entries, and what its callers send and take.

    ``first`` is the time to the first event and ``gap`` the pause between two
    that callers take, ``shift`` how long demand stays, all in seconds.
    ``capacity`` is how many streams a second even ranks serve within these.
    """

    engine: pace.Engine
    entries: int
    capacity: float
    first: float
    gap: float
    events: int
    prompt: int = 835
    shift: float = 2.3


MIDDLE = Site(
    engine=pace.Engine(),
    entries=18,
    capacity=250.0,
    first=0.406,
    gap=0.12,
    events=23,
)
LARGE = Site(
    engine=pace.LARGE,
    entries=39,
    capacity=190.0,
    first=0.508,
    gap=0.15,
    events=17,
    shift=3.8,
)
DENSE = Site(
    engine=pace.DENSE,
    entries=15,
    capacity=150.0,
    first=0.506,
    gap=0.15,
    events=19,
    prompt=827,
    shift=3.5,
)


@attrs.frozen
class Pattern:
    """A load: a part of the capacity, and one rank's pace.

    The owner of the maps is gone from ``lost_at`` on for ``lost_seconds``.
    """

    name: str
    load: float
    pace: float = 1
    site: Site = MIDDLE
    lost_at: float = 0
    lost_seconds: float = 0


@attrs.frozen
class Variant:
    """A way to place calls (``route``) and experts (``maps``).

    With ``shares`` the entries tell each other of their calls, and ``bound``
    is what keeps calls back at the entries, if anything does.
    """

    name: str
    route: str
    maps: str
    shares: bool = False
    bound: type[concurrency.ConcurrencyLimit] | None = None


PATTERNS = (
    Pattern('shifts', 0.8),
    Pattern('overload', 1.2),
    Pattern('slow_rank', 0.6, pace=4.0),
    Pattern('large', 0.8, site=LARGE),
    Pattern('dense', 0.75, site=DENSE),
    Pattern('dense_lost_owner', 0.75, site=DENSE, lost_at=2, lost_seconds=4),
    Pattern('dense_uneven', 0.9, site=DENSE),
    Pattern('dense_overload', 1.5, site=DENSE),
    Pattern('dense_slow_rank', 0.5, pace=4.0, site=DENSE),
)
VARIANTS = (
    Variant('round_robin_static', 'round_robin', 'static'),
    Variant('least_own_static', 'least_own', 'static'),
    Variant('least_own_ours', 'least_own', 'ours'),
    Variant('ours_unshared', 'ours', 'ours'),
    Variant('unbounded_static', 'ours', 'static', shares=True),
    Variant(
        'places_static',
        'ours',
        'static',
        shares=True,
        bound=concurrency.SlotLimit,
    ),
    Variant(
        'tried_static', 'ours', 'static', shares=True, bound=call_bounds.Tried
    ),
    Variant(
        'bounded_static',
        'ours',
        'static',
        shares=True,
        bound=concurrency.LatencyLimit,
    ),
    Variant('ours_unbounded', 'ours', 'ours', shares=True),
    Variant(
        'ours_places', 'ours', 'ours', shares=True, bound=concurrency.SlotLimit
    ),
    Variant('ours_tried', 'ours', 'ours', shares=True, bound=call_bounds.Tried),
    Variant(
        'ours', 'ours', 'ours', shares=True, bound=concurrency.LatencyLimit
    ),
    Variant('oracle_unshared', 'ours', 'oracle'),
    Variant('oracle', 'ours', 'oracle', shares=True),
)
