"""Name one broken rule of a JSON value."""

from __future__ import annotations

import attrs

# Keys and positions from the outermost value inwards.
Path = tuple[str | int, ...]


@attrs.frozen
class Violation:
    """One broken rule, at a path inside the value."""

    path: Path
    code: str
    text: str
