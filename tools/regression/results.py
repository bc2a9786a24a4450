"""Store bench results and tell which are current."""

from __future__ import annotations

import hashlib
import json
import pathlib
import statistics
import typing

import attrs

# Paths whose changes invalidate a result; tests and pages do not.
PRODUCT_PATHS = ('tamarackthread', 'deploy/*.toml', 'deploy/*.json')
REQUIREMENTS = 'requirements.txt'
# Kinds of days left out of the mean: no trouble, or drawn for a single run.
EXCLUDED_KINDS = frozenset(('quiet', 'replay'))
# Largest drop of a site's mean below its baseline.
MAX_DROP = 0.03


class ResultsUnreadableError(Exception):
    """Results file or journal entry is unreadable or incomplete."""


@attrs.frozen(kw_only=True)
class Result:
    """Result of one bench run; ``code`` is the hash of the product.

    ``worth`` is by day, ``mean`` for scores; ``gate`` is None if not requested.
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
    """File of the newest result of each site and kind."""

    def __init__(self, path: pathlib.Path) -> None:
        """Load the file; raises ``ResultsUnreadableError``."""
        self._path = path
        self._rows: dict[str, Result] = {}
        if not path.exists():
            return
        try:
            rows = json.loads(path.read_text())
            for row in rows:
                self._store(_result_from_row(row))
        except (ValueError, KeyError, TypeError) as exc:
            raise ResultsUnreadableError(f'{path}: {exc}') from exc

    def get(self, site: str, kind: str) -> Result | None:
        """Return the newest result of a site and kind."""
        return self._rows.get(f'{site} {kind}')

    def put(self, fresh: Result) -> None:
        """Store a result and write the file."""
        self._store(fresh)
        rows = [attrs.asdict(row) for _, row in sorted(self._rows.items())]
        self._path.write_text(f'{json.dumps(rows, indent=1)}\n')

    def _store(self, row: Result) -> None:
        self._rows[f'{row.site} {row.kind}'] = row


def product_code(root: pathlib.Path) -> str:
    """Return a hash of the files that affect a result."""
    paths = {root / REQUIREMENTS}
    for pattern in PRODUCT_PATHS:
        for found in root.glob(pattern):
            paths.update(found.rglob('*') if found.is_dir() else (found,))
    digest = hashlib.sha256()
    for path in sorted(paths):
        if not path.is_file() or '__pycache__' in path.parts:
            continue
        digest.update(str(path.relative_to(root)).encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()[:16]


def read_entry(kind: str, site: str, code: str, path: pathlib.Path) -> Result:
    """Read a journal entry; raises ``ResultsUnreadableError``."""
    try:
        return _parse_entry(kind, site, code, json.loads(path.read_text()))
    except OSError as exc:
        raise ResultsUnreadableError(f'{path}: {exc}') from exc
    except (ValueError, KeyError, TypeError) as exc:
        raise ResultsUnreadableError(f'{path}: {exc!r}') from exc


def _parse_entry(
    kind: str, site: str, code: str, held: dict[str, typing.Any]
) -> Result:
    days = held['days']
    if not days or not held['ok'] or held['days_left_out']:
        raise ValueError(f'bench run was cut off after {len(days)} days')
    broken = [
        f'{rule} on {row["name"]}' for row in days for rule in row['rules']
    ]
    broken += [f'fault on {row["name"]}' for row in days if row.get('fault')]
    counted = [row['G'] for row in days if row['kind'] not in EXCLUDED_KINDS]
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
    baseline: float | None,
) -> list[str]:
    """List broken rules, a failed gate and a drop below the baseline."""
    place = f'{fresh.site} {fresh.kind}'
    found = [f'{place}: {broken}' for broken in fresh.broken]
    if fresh.gate is False:
        found.append(f'{place}: gate failed')
    if baseline is not None and fresh.mean is not None:
        if fresh.mean < baseline - MAX_DROP:
            found.append(f'{place}: {fresh.mean} after {baseline}')
    return found


def _result_from_row(row: dict) -> Result:
    return Result(**{**row, 'broken': tuple(row['broken'])})
