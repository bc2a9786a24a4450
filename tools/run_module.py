"""Run the tests of one module under nose2 and write their outcomes.

Usage: ``python -m tools.run_module MODULE OUTCOMES``.
"""

from __future__ import annotations

import asyncio
import faulthandler
import resource
import sys

import nose2

from tools import recorder


# Ends only a run that hangs: no test takes this long on any machine.
LIMIT_SECONDS = 1800
# The last line of a module's output: the processor's time, in seconds.
USED_MARK = 'processor: '


class PlainRunner(asyncio.Runner):
    """Runner without debug mode, whose tracebacks take longer than the tests.

    ``PYTHONASYNCIODEBUG=1`` sets the mode for a run that looks for its findings.
    """

    def __init__(self, *, debug: bool | None = None, **named: object) -> None:
        """Leave the debug mode to the environment, whatever is asked for."""
        del debug
        super().__init__(**named)


def main() -> int:
    """Run the module named first and write to the file named second.

    A module that takes too long prints where it stands and ends.
    """
    module, path = sys.argv[1:3]
    asyncio.Runner = PlainRunner
    faulthandler.dump_traceback_later(LIMIT_SECONDS, exit=True)
    recorder.Recorder.path = path
    nose2.discover(
        argv=['nose2', module],
        plugins=[recorder.__name__],
        exit=False,
    )
    print(f'{USED_MARK}{used_seconds():.1f}')
    return 0


def used_seconds() -> float:
    """Return the processor's time of this process and its ended children."""
    used = [
        resource.getrusage(who)
        for who in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)
    ]
    return sum(row.ru_utime + row.ru_stime for row in used)


if __name__ == '__main__':
    sys.exit(main())
