"""Handle signals while a process loads its code."""

from __future__ import annotations

import signal
import sys
import types


def handle() -> None:
    """Ignore SIGHUP, and exit with 0 on SIGTERM and SIGINT.

    Their default actions would end the process as if it had failed.  A role
    installs its own handlers as soon as it runs.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _exit)


def _exit(number: int, frame: types.FrameType | None) -> None:
    sys.exit(0)
