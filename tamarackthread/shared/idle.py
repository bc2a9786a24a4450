"""Rest until asked to stop, at the least cost.

A role that has nothing to do on its host must not end: it would be started
again and again, and each start takes a second of the host's processor.  This
module loads nothing, so that a resting process keeps nine megabytes and not
the forty of a role.
"""

import signal
import sys


def wait_for_stop(why: str) -> None:
    """Block until SIGTERM or SIGINT; ``why`` is logged in one line."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    stopping = {signal.SIGTERM, signal.SIGINT}
    # A blocked signal stays pending until it is waited for, so that one that
    # comes first is not lost.
    signal.pthread_sigmask(signal.SIG_BLOCK, stopping)
    sys.stdout.write(f'{why}\n')
    sys.stdout.flush()
    signal.sigwait(stopping)
