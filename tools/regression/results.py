"""Hold what plays of the users' bench gave, and whether it still counts."""

from __future__ import annotations

import hashlib
import json
import pathlib
import statistics
import typing

import attrs

# What a day depends on; tests and pages make no result stale.
PRODUCT = ('tamarackthread', 'deploy/*.toml', 'deploy/*.json')
REQUIREMENTS = 'requirements.txt'
# Days that do not count for the mean: calm ones, and those drawn for one play.
UNCOUNTED = frozenset(('quiet', 'replay'))
# A site may not fall by more than this below what it had.
MOST_FALL = 0.03


class ResultsUnreadableError(Exception):
    """File of results, or an entry of the bench, can't be read."""


@attrs.frozen(kw_only=True)
class Result:
    """What one play gave.

    ``kind`` is ``score``, ``hunt`` or ``sweep``, ``code`` the product's hash and
    ``entry`` the journal's entry.  ``worth`` is by day, ``mean`` that of a score's
    standard days with trouble, and ``broken`` names the rules that broke with their
    days.  ``gate`` is ``None`` where none was asked for.
    """

    site: str
    kind: str
    code: str
    entry: str
    worth: dict[str, float]
    broken: tuple[str, ...]
    mean: float | None = None
    gate: bool | None = None


class Results:
    """Keep the newest result of each site and kind in a file."""

    def __init__(self, path: pathlib.Path) -> None:
        """Read what is held; raises ``ResultsUnreadableError``."""
        self._path = path
        self._rows: dict[str, Result] = {}
        if not path.exists():
            return
        try:
            rows = json.loads(path.read_text())
            for row in rows:
                self._hold(_result_of(row))
        except (ValueError, KeyError, TypeError) as exc:
            raise ResultsUnreadableError(f'{path}: {exc}') from exc

    def get(self, site: str, kind: str) -> Result | None:
        """Return the newest result of a kind."""
        return self._rows.get(f'{site} {kind}')

    def put(self, fresh: Result) -> None:
        """Hold a result and write all down."""
        self._hold(fresh)
        rows = [attrs.asdict(row) for _, row in sorted(self._rows.items())]
        self._path.write_text(f'{json.dumps(rows, indent=1)}\n')

    def _hold(self, row: Result) -> None:
        self._rows[f'{row.site} {row.kind}'] = row


def product_code(root: pathlib.Path) -> str:
    """Return a hash of all that a day depends on."""
    paths = {root / REQUIREMENTS}
    for pattern in PRODUCT:
        for found in root.glob(pattern):
            paths.update(found.rglob('*') if found.is_dir() else (found,))
    digest = hashlib.sha256()
    for path in sorted(paths):
        if not path.is_file() or '__pycache__' in path.parts:
            continue
        digest.update(str(path.relative_to(root)).encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()[:16]


def of_entry(kind: str, site: str, code: str, path: pathlib.Path) -> Result:
    """Read a journal's entry; raises ``ResultsUnreadableError``."""
    try:
        return _of_held(kind, site, code, json.loads(path.read_text()))
    except OSError as exc:
        raise ResultsUnreadableError(f'{path}: {exc}') from exc
    except (ValueError, KeyError, TypeError) as exc:
        raise ResultsUnreadableError(f'{path}: {exc!r}') from exc


def _of_held(
    kind: str, site: str, code: str, held: dict[str, typing.Any]
) -> Result:
    days = held['days']
    if not days or not held['ok'] or held['days_left_out']:
        raise ValueError(f'play was cut off after {len(days)} days')
    broken = [
        f'{rule} on {row["name"]}' for row in days for rule in row['rules']
    ]
    broken += [f'fault on {row["name"]}' for row in days if row.get('fault')]
    counted = [row['G'] for row in days if row['kind'] not in UNCOUNTED]
    mean = None
    if kind == 'score' and counted:
        mean = round(statistics.mean(counted), 3)
    gate = held['figures'].get('gate')
    return Result(
        site=site,
        kind=kind,
        code=code,
        entry=held['id'],
        worth={row['name']: round(row['G'], 3) for row in days},
        broken=tuple(broken),
        mean=mean,
        gate=None if gate is None else bool(gate),
    )


def findings(
    fresh: Result,
    before: float | None,
) -> list[str]:
    """List what a result must not show: a broken rule, a gate, a fall."""
    place = f'{fresh.site} {fresh.kind}'
    found = [f'{place}: {broken}' for broken in fresh.broken]
    if fresh.gate is False:
        found.append(f'{place}: gate failed')
    if before is not None and fresh.mean is not None:
        if fresh.mean < before - MOST_FALL:
            found.append(f'{place}: {fresh.mean} after {before}')
    return found


def _result_of(row: dict) -> Result:
    return Result(**{**row, 'broken': tuple(row['broken'])})
