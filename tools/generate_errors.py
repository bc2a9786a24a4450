"""Write ``docs/ERRORS.md`` from the catalogue of coded errors."""

from __future__ import annotations

import importlib
import inspect
import pathlib
import pkgutil
import sys

import tamarackthread
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'ERRORS.md'
HEAD = """# Errors

Every failure has one code that stays the same over releases. Callers get it as
JSON together with `ran`, which says what is known about the call's execution:

- `not_run`: it did not run and never will; sending it again is safe.
- `complete`: it ran to its end.
- `may_have_run`: it was handed over and its outcome is unknown. Don't send a
  call that must not repeat again without its idempotency key.

A single error may carry a more exact `ran` than its kind's, listed here. This
page is made by `make docs` from the classes in the code.

| Code | Name | HTTP status | Ran | Meaning |
| --- | --- | --- | --- | --- |
"""


def import_all() -> None:
    """Import every module of the package, which registers its error classes."""
    found = pkgutil.walk_packages(tamarackthread.__path__, 'tamarackthread.')
    for module in found:
        if not module.name.endswith('.__main__'):
            importlib.import_module(module.name)


def row(kind: type[errors.CodedError]) -> str:
    """Return the table row of one error class."""
    meaning = (inspect.getdoc(kind) or '').split('\n\n')[0].replace('\n', ' ')
    ran = messages.Ran(kind.ran).name.lower()
    cells = (
        f'`{kind.code}`',
        kind.__name__,
        str(kind.status),
        f'`{ran}`',
        meaning.replace('|', r'\|'),
    )
    return f'| {" | ".join(cells)} |\n'


def page() -> str:
    """Return the text of the whole page."""
    import_all()
    own = (
        kind
        for kind in errors.catalogue()
        if kind.__module__.startswith('tamarackthread.')
    )
    return HEAD + ''.join(row(kind) for kind in own)


def main() -> int:
    """Write the page into the repository."""
    PAGE.write_text(page())
    return 0


if __name__ == '__main__':
    sys.exit(main())
