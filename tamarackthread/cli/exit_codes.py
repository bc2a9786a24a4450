"""Define the exit codes of the command line (see docs/OPERATORS.md)."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """The result of a command, for scripts."""

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
