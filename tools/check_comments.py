"""Check that no comment of the product holds a figure of a run.

A reader of the code needs the reason of a value.  What was measured for it
belongs into the commit and ``docs/DECISIONS.md``, where it can be found by its
constant.
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
# A share or a factor with two places after the point and no unit, how often
# something was counted in a run, and words that tell of one.
FIGURE = re.compile(
    r'\b\d\.\d{2,}\b(?! ?(?:s|ms|%|MB)\b)'
    r'|\b\d+\s+times\s+in\s+\d'
    r'|\b(?:[Mm]easured|was tried|in the mean|one run)\b'
)


def findings(text: str) -> list[int]:
    """Return the lines at which comments hold a figure of a run.

    Comments of several lines are read as one text.
    """
    found = []
    block: list[str] = []
    first = 0
    last = 0
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type != tokenize.COMMENT:
            continue
        line = token.start[0]
        if line != last + 1:
            found += _of_block(block, first)
            block = []
            first = line
        block.append(token.string.lstrip('# '))
        last = line
    return found + _of_block(block, first)


def main() -> int:
    """Print each place with such a comment; return 1 if there is any."""
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


def _of_block(block: list[str], first: int) -> list[int]:
    return [first] if FIGURE.search(' '.join(block)) else []


if __name__ == '__main__':
    sys.exit(main())
