"""Bundle the components and settings of one member of a group."""

from __future__ import annotations

import collections.abc
import random

import attrs

from tamarackthread.control import disk, timing
from tamarackthread.control import state_machine as machines
from tamarackthread.control import transport as transports


@attrs.frozen(eq=False)
class Dependencies:
    """Components and settings of a member.

    ``bootstrap`` maps the nodes that form a new group to their addresses.
    """

    group: str
    node: str
    machine: machines.StateMachine
    files: disk.Disk
    transport: transports.Transport
    times: timing.Timing
    rng: random.Random
    bootstrap: collections.abc.Mapping[str, str]
