"""Name what one member of a group is built on."""

from __future__ import annotations

import collections.abc
import random

import attrs

from tamarackthread.control import disk, timing
from tamarackthread.control import state_machine as machines
from tamarackthread.control import transport as transports


@attrs.frozen(eq=False)
class Dependencies:
    """What a member is built on.

    ``bootstrap`` maps the nodes of the group's first formation to addresses.
    """

    group: str
    node: str
    machine: machines.StateMachine
    files: disk.Disk
    transport: transports.Transport
    times: timing.Timing
    rng: random.Random
    bootstrap: collections.abc.Mapping[str, str]
