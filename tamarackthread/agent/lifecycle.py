"""Name the states of a rank between two expert maps.

Transitions that make no sense, such as arming before loading, raise.
"""

from __future__ import annotations

import transitions

UNPLACED = 'unplaced'
STEADY = 'steady'
LOADED = 'loaded'
ARMED = 'armed'


class Lifecycle:
    """The rank's state; a restart of the engine leads to UNPLACED."""

    state = UNPLACED

    def __init__(self) -> None:
        """Wait for the engine's first start."""
        self._machine = transitions.Machine(
            model=self,
            states=[UNPLACED, STEADY, LOADED, ARMED],
            initial=UNPLACED,
            auto_transitions=False,
            transitions=[
                ['lose', '*', UNPLACED],
                ['place', UNPLACED, STEADY],
                ['load', [STEADY, LOADED], LOADED],
                ['arm', [LOADED, UNPLACED], ARMED],
                ['settle', ARMED, STEADY],
            ],
        )
