"""Decide what to play, and in which order."""

from __future__ import annotations

import pathlib
import tomllib

import attrs

from tools.regression import results

# A deployment with so many targets' hosts is a large one: a day takes minutes.
LARGE_HOSTS = 60
DAYS_OF_LARGE = 8
DAYS_OF_SMALL = 40
KINDS = ('score', 'hunt', 'sweep')
DEFAULT_JOBS = 6


@attrs.frozen(kw_only=True)
class Site:
    """A deployment: its file, its place in the order, and what it had."""

    name: str
    path: pathlib.Path
    is_large: bool
    before: float | None


@attrs.frozen(kw_only=True)
class Play:
    """One call of the users' bench."""

    site: Site
    kind: str

    def arguments(self, why: str) -> list[str]:
        """Return the words after the bench's own name."""
        words = [self.kind, str(self.site.path), '--jobs', str(DEFAULT_JOBS)]
        if self.kind == 'hunt':
            days = DAYS_OF_LARGE if self.site.is_large else DAYS_OF_SMALL
            words += ['--days', str(days)]
        return [*words, '--why', why]


def sites(
    folder: pathlib.Path, order: list[str], before: dict[str, float]
) -> list[Site]:
    """List the deployments below a folder, those of ``order`` first."""
    found = []
    for path in sorted(folder.glob('*/*.toml')):
        held = tomllib.loads(path.read_text())
        if 'day' not in held:
            continue
        hosts = sum(
            row.get('count', 0)
            for row in held.get('machines', ())
            if row.get('class') == 'side'
        )
        found.append(
            Site(
                name=held['name'],
                path=path,
                is_large=hosts >= LARGE_HOSTS,
                before=before.get(held['name']),
            )
        )
    found.sort(key=lambda site: _place(site.name, order))
    return found


def plays(
    known: list[Site],
    held: results.Results,
    code: str,
    kinds: list[str],
) -> list[Play]:
    """List what was not played on this code, the most telling first."""
    found = []
    for kind in kinds:
        for site in known:
            row = held.get(site.name, kind)
            if row is None or row.code != code:
                found.append(Play(site=site, kind=kind))
    return found


def _place(name: str, order: list[str]) -> tuple[int, str]:
    if name in order:
        return order.index(name), name
    return len(order), name
