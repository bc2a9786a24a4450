"""Draw how work grows, and what keeps it from growing with the product."""

from __future__ import annotations

import matplotlib
import numpy

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

from bench.slopes import budgets, design, sheet  # noqa: E402

_SIZE = (7, 4)
_DPI = 90
# Curves a hundred times apart would lie on the axis.
_LOGARITHMIC = frozenset(('links', 'relays'))
_CORE = 'core of the busiest process, %'


def draw(found: sheet.Figures) -> None:
    """Write all pictures beside the figures."""
    _links(found)
    _relays(found)
    _claims(found)
    _plans(found)
    _tokens(found)


def _links(found: sheet.Figures) -> None:
    targets = numpy.linspace(100, 2 * design.REPLICAS, 60)
    each = design.BEATS * found.slope('heartbeat_cpu_entry')
    each += design.REPORTS * found.slope('report_cpu_entry')
    kept = numpy.minimum(targets, design.SUBSET * design.MODELS)
    _plot(
        'links',
        ('targets', _CORE),
        targets,
        {
            'each entry to each target': targets * each / 1e4,
            'subsets of 24 a service (today)': kept * each / 1e4,
            '3 a service, 1 report/s': numpy.full_like(
                targets,
                45
                * (
                    found.slope('heartbeat_cpu_entry') / 2
                    + found.slope('report_cpu_entry')
                )
                / 1e4,
            ),
        },
        (design.REPLICAS, design.BUDGET_CPU),
        'heartbeats and reports at an entry',
    )


def _relays(found: sheet.Figures) -> None:
    nodes = numpy.linspace(50, 2 * design.FOLLOWING, 60)
    each = found.slope('child_rest_cpu')
    each += found.slope('child_change_cpu') * design.CHANGES
    _plot(
        'relays',
        ('nodes that follow the configuration', _CORE),
        nodes,
        {
            'all at the leader': nodes * each / 1e4,
            'tree of relays: leader': numpy.minimum(
                nodes,
                design.CONTROL_CHILDREN,
            )
            * each
            / 1e4,
            'tree of relays: a node': numpy.full_like(
                nodes,
                design.RELAY_CHILDREN * each / 1e4,
            ),
        },
        (design.FOLLOWING, design.BUDGET_CPU),
        'feed at rest and with changes',
    )


def _claims(found: sheet.Figures) -> None:
    known = budgets.claims(found)
    hosts = numpy.arange(3, design.CONTROL_HOSTS + 1)
    _plot(
        'claims',
        ('control hosts', 'claims a second'),
        hosts,
        {
            'all voters in all shards (today)': numpy.array(
                [known.shared(int(count)) for count in hosts],
            ),
            'three voters a shard': numpy.array(
                [known.spread(int(count)) for count in hosts],
            ),
        },
        (design.CONTROL_HOSTS, design.REQUESTS),
        'claims that control hosts carry',
    )


def _plans(found: sheet.Figures) -> None:
    layers = numpy.arange(1, 65)
    each = found.slope('plan_cpu_by_layers')
    _plot(
        'plans',
        ('layers', 'processor time of a plan, ms'),
        layers,
        {'32 ranks, 256 experts': layers * each},
        (design.LAYERS, design.PLAN_SECONDS * 1000 / 2),
        'plan of an expert map',
    )


def _tokens(found: sheet.Figures) -> None:
    entries = numpy.arange(50, 801, 10)
    each = found.slope('token_cpu_entry')
    _plot(
        'tokens',
        ('entries', 'core of each entry, %'),
        entries,
        {'relayed tokens': design.TOKENS / entries * each / 1e4},
        (design.NODES, 100),
        '3.8 million tokens a second',
    )


def _plot(
    name: str,
    labels: tuple[str, str],
    sizes: numpy.ndarray,
    curves: dict[str, numpy.ndarray],
    bound: tuple[float, float],
    title: str,
) -> None:
    figure, axis = pyplot.subplots(figsize=_SIZE)
    for label, heights in curves.items():
        axis.plot(sizes, heights, label=label)
    axis.axvline(bound[0], color='tab:gray', linestyle=':', label='design size')
    axis.axhline(bound[1], color='tab:red', linestyle=':', label='bound')
    axis.set_xlabel(labels[0])
    axis.set_ylabel(labels[1])
    axis.set_title(title)
    if name in _LOGARITHMIC:
        axis.set_yscale('log')
    else:
        axis.set_ylim(bottom=0)
    axis.grid(alpha=0.3)
    axis.legend()
    figure.tight_layout()
    sheet.FOLDER.mkdir(parents=True, exist_ok=True)
    figure.savefig(
        sheet.FOLDER / f'{name}.png',
        dpi=_DPI,
        metadata={'Software': None},
    )
    pyplot.close(figure)
