"""Check that no comment in the package cites a measurement.

Measurements belong in the commit message and ``docs/DECISIONS.md``.
"""

from __future__ import annotations

import io
import pathlib
import re
import sys
import tokenize

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / 'tamarackthread'
GENERATED = 'generated'
# A number with two or more decimals and no unit, a count of occurrences, or a
# phrase that introduces a measurement.
MEASUREMENT = re.compile(
    r'\b\d\.\d{2,}\b(?! ?(?:s|ms|%|MB)\b)'
    r'|\b\d+\s+times\s+in\s+\d'
    r'|\b(?:[Mm]easured|was tried|in the mean|one run)\b'
)


def findings(text: str) -> list[int]:
    """Return the first line of each comment block that cites a measurement."""
    found = []
    block: list[str] = []
    first = 0
    last = 0
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type != tokenize.COMMENT:
            continue
        line = token.start[0]
        if line != last + 1:
            found += _block_finding(block, first)
            block = []
            first = line
        block.append(token.string.lstrip('# '))
        last = line
    return found + _block_finding(block, first)


def main() -> int:
    """Print the location of each such comment; return 1 if there is any."""
    places = []
    for path in sorted(PACKAGE.rglob('*.py')):
        if GENERATED in path.parts:
            continue
        name = path.relative_to(ROOT)
        places += [
            f'{name}:{line}: a comment holds a figure of a run'
            for line in findings(path.read_text())
        ]
    for place in places:
        sys.stdout.write(f'{place}\n')
    return 1 if places else 0


def _block_finding(block: list[str], first: int) -> list[int]:
    return [first] if MEASUREMENT.search(' '.join(block)) else []


if __name__ == '__main__':
    sys.exit(main())
