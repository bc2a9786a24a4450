"""Violations of a schema by a JSON value."""

from __future__ import annotations

import attrs

# Keys and indexes from the outermost value inwards.
Path = tuple[str | int, ...]


@attrs.frozen
class Violation:
    """One violation, at a path inside the value."""

    path: Path
    code: str
    text: str
