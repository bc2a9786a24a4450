"""Say what an agent needs of the engine process of its rank."""

from __future__ import annotations

import abc
import collections.abc

import attrs

from tamarackthread.agent import switch_record
from tamarackthread.policy import expert_map, moves

# Called with the part done, from 0 to 1.
Report = collections.abc.Callable[[float], None]


@attrs.frozen
class EngineStatus:
    """What the engine says of itself.

    ``step`` is the last step begun, ``incarnation`` grows at each start and
    ``step_ms`` is the recent mean time of a step.
    """

    step: int
    incarnation: int
    step_ms: float


class Engine(abc.ABC):
    """Drive one rank's engine; methods raise ``EngineFailed``."""

    @abc.abstractmethod
    async def status(self) -> EngineStatus:
        """Ask for step, incarnation and step time."""

    @abc.abstractmethod
    async def wait_started(self, incarnation: int) -> int:
        """Wait for a start after ``incarnation`` and return the new one.

        An engine that has started runs no step before it got a record.
        """

    @abc.abstractmethod
    async def add_map(self, placement: expert_map.ExpertMap) -> None:
        """Make a map known; its weights are loaded by pieces."""

    @abc.abstractmethod
    async def loaded(self) -> collections.abc.Collection[moves.Move]:
        """List the weights that are loaded whole."""

    @abc.abstractmethod
    async def load_piece(self, piece: moves.Piece) -> None:
        """Load one piece; cancelling the call drops what came of it."""

    @abc.abstractmethod
    async def apply_record(
        self,
        record: switch_record.SwitchRecord,
        fence: int,
    ) -> None:
        """Serve each step with the map that the record gives for it.

        The engine holds where the record says so, and may drop weights that
        no map of a decided record needs any more.  Raises ``ArmTooLate`` when
        an open switch's step has begun already.
        """

    @abc.abstractmethod
    async def execute(
        self,
        action: str,
        body: str,
        fence: int,
        report: Report,
    ) -> str:
        """Execute an order of its own kind and return its result.

        Cancelling the call stops it; calling again resumes.
        """
