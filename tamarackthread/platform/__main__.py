"""Run a role on the platform: ``python -m tamarackthread.platform ROLE``."""

from __future__ import annotations

import importlib
import sys

from tamarackthread.shared import resting

BAD_SETTINGS = 2
_ROLES = ('entry', 'control')


def main(arguments: list[str]) -> int:
    """Run until asked to stop; return the exit code.

    Control is told its data folder as a second word, which is empty on a host
    without a disk.  It rests there: it could keep nothing of what it accepts.
    """
    role, folder = (*arguments, '', '')[:2]
    if role not in _ROLES:
        sys.stderr.write(f'say one role of {", ".join(_ROLES)}\n')
        return BAD_SETTINGS
    if role == 'control' and not folder:
        resting.until_stopped('control: rests, this host has no disk')
        return 0
    # Loaded only now, so that a resting process holds none of it in memory.
    startup = importlib.import_module('tamarackthread.platform.startup')
    return startup.main(role)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
