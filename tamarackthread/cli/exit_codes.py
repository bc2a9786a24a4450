"""Name the exit codes of the command line; docs/OPERATORS.md explains them."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Say how a command ended, so that a script need not read its words."""

    DONE = 0
    INVALID = 1
    USAGE = 2
    CONFLICT = 3
    NOT_FOUND = 4
    UNREACHABLE = 5
    OUTCOME_UNKNOWN = 6
    NOT_IN_FORCE = 7
    REFUSED = 8
    DIFFERENT = 9
    START_FAILED = 10
