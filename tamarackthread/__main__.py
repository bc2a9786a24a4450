"""Start the program, as ``tamarackthread`` or ``python -m tamarackthread``."""

from __future__ import annotations

import sys

from tamarackthread.cli import application


def main() -> int:
    """Run what the command line asks for; return the exit code."""
    return application.main()


if __name__ == '__main__':
    sys.exit(main())
