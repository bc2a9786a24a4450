"""Run the tests of one module under nose2 and write their outcomes.

Usage: ``python -m tools.run_module MODULE OUTCOMES``.
"""

from __future__ import annotations

import faulthandler
import sys

import nose2

from tools import recorder


LIMIT_SECONDS = 300


def main() -> int:
    """Run the module named first and write to the file named second.

    A module that takes too long prints where it stands and ends.
    """
    module, path = sys.argv[1:3]
    faulthandler.dump_traceback_later(LIMIT_SECONDS, exit=True)
    recorder.Recorder.path = path
    nose2.discover(
        argv=['nose2', module],
        plugins=[recorder.__name__],
        exit=False,
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
