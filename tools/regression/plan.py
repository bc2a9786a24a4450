"""Select the outstanding bench runs and their order."""

from __future__ import annotations

import pathlib
import tomllib

import attrs

from tools.regression import results

# Target hosts from which a deployment is large; its days take minutes.
LARGE_HOSTS = 60
DAYS_OF_LARGE = 8
DAYS_OF_SMALL = 40
KINDS = ('score', 'hunt', 'sweep')
DEFAULT_JOBS = 6


@attrs.frozen(kw_only=True)
class Site:
    """Deployment under test; ``baseline`` is its expected mean."""

    name: str
    path: pathlib.Path
    is_large: bool
    baseline: float | None


@attrs.frozen(kw_only=True)
class BenchRun:
    """One invocation of the bench."""

    site: Site
    kind: str

    def arguments(self, why: str) -> list[str]:
        """Return the command-line arguments of the bench."""
        options = [self.kind, str(self.site.path), '--jobs', str(DEFAULT_JOBS)]
        if self.kind == 'hunt':
            days = DAYS_OF_LARGE if self.site.is_large else DAYS_OF_SMALL
            options += ['--days', str(days)]
        return [*options, '--why', why]


def sites(
    folder: pathlib.Path, order: list[str], baselines: dict[str, float]
) -> list[Site]:
    """List the deployments in a folder, those of ``order`` first."""
    found = []
    for path in sorted(folder.glob('*/*.toml')):
        site_file = tomllib.loads(path.read_text())
        if 'day' not in site_file:
            continue
        hosts = sum(
            row.get('count', 0)
            for row in site_file.get('machines', ())
            if row.get('class') == 'side'
        )
        found.append(
            Site(
                name=site_file['name'],
                path=path,
                is_large=hosts >= LARGE_HOSTS,
                baseline=baselines.get(site_file['name']),
            )
        )
    found.sort(key=lambda site: _place(site.name, order))
    return found


def outstanding_runs(
    known: list[Site],
    stored: results.Results,
    code: str,
    kinds: list[str],
) -> list[BenchRun]:
    """List the runs without a result for this code, by kind, then site."""
    found = []
    for kind in kinds:
        for site in known:
            row = stored.get(site.name, kind)
            if row is None or row.code != code:
                found.append(BenchRun(site=site, kind=kind))
    return found


def _place(name: str, order: list[str]) -> tuple[int, str]:
    if name in order:
        return order.index(name), name
    return len(order), name
