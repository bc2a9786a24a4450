"""Load weights in the background, one piece at a time.  An urgent call cancels
the piece in flight and pauses loading until a quiet period after it.
"""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.agent import engine, order_errors, store_slots
from tamarackthread.policy import moves

PIECES_PER_MOVE = 8


class UrgentSignal:
    """Notify the loader of urgent calls."""

    def __init__(self, monitor: moves.UrgentCallMonitor) -> None:
        """Track urgent calls in ``monitor``."""
        self._monitor = monitor
        self._arrival = asyncio.Event()

    def hint(self) -> None:
        """Note an urgent call that is expected."""
        self._monitor.hint(self._now())
        self._arrival.set()

    def arrived(self) -> None:
        """Note the start of an urgent call."""
        self._monitor.arrived(self._now())
        self._arrival.set()

    def finished(self) -> None:
        """Note the end of an urgent call."""
        self._monitor.finished(self._now())

    def must_pause(self) -> bool:
        """Tell whether loading must pause."""
        return self._monitor.must_pause(self._now())

    async def wait_urgent(self) -> None:
        """Wait for the next urgent call."""
        self._arrival.clear()
        await self._arrival.wait()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


class WeightLoader:
    """Load the weights that a plan assigns to one rank."""

    def __init__(
        self,
        rank_engine: engine.Engine,
        urgent: UrgentSignal,
        store: store_slots.StoreLimiter,
        poll_seconds: float = 0.01,
    ) -> None:
        """Poll every ``poll_seconds`` while loading is paused."""
        self._engine = rank_engine
        self._urgent = urgent
        self._store = store
        self._poll_seconds = poll_seconds
        self._loaded: set[moves.Move] = set()
        self._syncs = 0

    async def sync_loaded(self) -> None:
        """Read what the engine has loaded, so that an agent restart reloads
        nothing; fail loads in progress, whose pieces an engine restart lost.
        """
        self._syncs += 1
        self._loaded = set(await self._engine.loaded())

    def retain(self, wanted: collections.abc.Collection[moves.Move]) -> None:
        """Forget loaded weights that no map in use needs."""
        self._loaded.intersection_update(wanted)

    async def load(
        self,
        wanted: collections.abc.Collection[moves.Move],
        report: engine.Report,
    ) -> None:
        """Load the missing weights in pieces, urgent moves first."""
        syncs = self._syncs
        queue = moves.MoveQueue(wanted, PIECES_PER_MOVE, self._loaded)
        while not queue.progress.is_complete:
            piece = queue.start(self._urgent.must_pause())
            if piece is None:
                await asyncio.sleep(self._poll_seconds)
                continue
            await self._load_piece(queue, piece)
            if syncs != self._syncs:
                raise order_errors.RankNotReady(
                    'rank restarted during the load'
                )
            self._mark_loaded(piece, queue)
            progress = queue.progress
            report(progress.loaded / progress.total)

    async def _load_piece(
        self,
        queue: moves.MoveQueue,
        piece: moves.Piece,
    ) -> None:
        loading = asyncio.ensure_future(self._load_limited(piece))
        urgent_arrival = asyncio.ensure_future(self._urgent.wait_urgent())
        try:
            await self._wait_first(loading, urgent_arrival, piece.move.urgent)
        finally:
            urgent_arrival.cancel()
            if not loading.done():
                queue.interrupt(piece)
                loading.cancel()
        if not loading.cancelled() and loading.done():
            loading.result()
            queue.finish(piece)

    def _mark_loaded(self, piece: moves.Piece, queue: moves.MoveQueue) -> None:
        if queue.completes_move(piece):
            self._loaded.add(piece.move)

    async def _wait_first(
        self,
        loading: asyncio.Future[None],
        urgent_arrival: asyncio.Future[None],
        urgent: bool,
    ) -> None:
        if urgent:
            await asyncio.wait((loading,))
            return
        await asyncio.wait(
            (loading, urgent_arrival),
            return_when=asyncio.FIRST_COMPLETED,
        )

    async def _load_limited(self, piece: moves.Piece) -> None:
        await self._store.acquire(urgent=piece.move.urgent)
        await self._engine.load_piece(piece)
