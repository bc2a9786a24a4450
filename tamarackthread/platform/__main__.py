"""Run a role on the platform: ``python -m tamarackthread.platform ROLE``."""

from __future__ import annotations

import importlib
import sys

from tamarackthread.shared import early_signals, idle

BAD_SETTINGS = 2
_ROLES = ('entry', 'control')


def main(arguments: list[str]) -> int:
    """Run until asked to stop; return the exit code.  Control idles if its
    data folder, the second argument, is empty: it could not store anything.
    """
    role, folder = (*arguments, '', '')[:2]
    if role not in _ROLES:
        sys.stderr.write(f'expected a role, one of {", ".join(_ROLES)}\n')
        return BAD_SETTINGS
    if role == 'control' and not folder:
        idle.wait_for_stop('control: rests, this host has no disk')
        return 0
    early_signals.handle()
    # Imported late to keep the memory of an idle process small.
    startup = importlib.import_module('tamarackthread.platform.startup')
    return startup.main(role)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
