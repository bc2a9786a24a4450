"""Define the states of a rank in a map switch; invalid transitions raise."""

from __future__ import annotations

import transitions

UNPLACED = 'unplaced'
STEADY = 'steady'
LOADED = 'loaded'
ARMED = 'armed'


class Lifecycle:
    """State machine of one rank; an engine restart resets it to UNPLACED."""

    state = UNPLACED

    def __init__(self) -> None:
        """Start as UNPLACED, until the engine's first start."""
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
