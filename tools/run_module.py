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


# Ends a module that hangs; far longer than any module takes.
LIMIT_SECONDS = 1800
# Prefix of the last output line, which holds the CPU time in seconds.
CPU_PREFIX = 'processor: '


class NoDebugRunner(asyncio.Runner):
    """Runner without the slow debug mode, unless PYTHONASYNCIODEBUG is set."""

    def __init__(self, *, debug: bool | None = None, **named: object) -> None:
        """Ignore ``debug``, so that the environment decides."""
        del debug
        super().__init__(**named)


def main() -> int:
    """Run the module; exit with all tracebacks printed if it hangs."""
    module, path = sys.argv[1:3]
    asyncio.Runner = NoDebugRunner
    faulthandler.dump_traceback_later(LIMIT_SECONDS, exit=True)
    recorder.Recorder.path = path
    nose2.discover(
        argv=['nose2', module],
        plugins=[recorder.__name__],
        exit=False,
    )
    print(f'{CPU_PREFIX}{cpu_seconds():.1f}')
    return 0


def cpu_seconds() -> float:
    """Return the CPU seconds of this process and its finished children."""
    used = [
        resource.getrusage(who)
        for who in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)
    ]
    return sum(row.ru_utime + row.ru_stime for row in used)


if __name__ == '__main__':
    sys.exit(main())
