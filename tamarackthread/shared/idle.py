"""Idle until stopped, with few imports to save memory.  A role without work
must not exit, because its supervisor would restart it again and again.
"""

import signal
import sys


def wait_for_stop(reason: str) -> None:
    """Print a reason and block until SIGTERM or SIGINT."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    stopping = {signal.SIGTERM, signal.SIGINT}
    # Blocked signals stay pending, so that none is lost before ``sigwait``.
    signal.pthread_sigmask(signal.SIG_BLOCK, stopping)
    sys.stdout.write(f'{reason}\n')
    sys.stdout.flush()
    signal.sigwait(stopping)
