"""Load weights in the background, out of the way of urgent work.

Pieces come one at a time.  When an urgent call is hinted or arrives, the
piece in flight is dropped and loading stands still until the quiet after it.
"""

from __future__ import annotations

import asyncio
import collections.abc

from tamarackthread.agent import engine, order_errors, store_slots
from tamarackthread.policy import moves

PIECES_PER_MOVE = 8


class UrgentSignal:
    """Tell a loader about urgent work the moment that it is known."""

    def __init__(self, watch: moves.UrgentCallMonitor) -> None:
        """Share the watch with the gate, which calls the three methods."""
        self._watch = watch
        self._came = asyncio.Event()

    def hint(self) -> None:
        """Take note of an urgent call on its way here."""
        self._watch.hint(self._now())
        self._came.set()

    def arrived(self) -> None:
        """Take note of an urgent call before it is handed over."""
        self._watch.arrived(self._now())
        self._came.set()

    def finished(self) -> None:
        """Take note of the end of an urgent call."""
        self._watch.finished(self._now())

    def must_pause(self) -> bool:
        """Tell whether loading must stand still."""
        return self._watch.must_pause(self._now())

    async def wait_urgent(self) -> None:
        """Wait for the next urgent call."""
        self._came.clear()
        await self._came.wait()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


class WeightLoader:
    """Load one rank's part of a plan."""

    def __init__(
        self,
        rank_engine: engine.Engine,
        urgent: UrgentSignal,
        store: store_slots.StoreLimiter,
        pause_seconds: float = 0.01,
    ) -> None:
        """Look again after ``pause_seconds`` while loading stands still."""
        self._engine = rank_engine
        self._urgent = urgent
        self._store = store
        self._pause_seconds = pause_seconds
        self._loaded: set[moves.Move] = set()
        self._syncs = 0

    async def sync_loaded(self) -> None:
        """Take over what the engine has loaded.

        An agent that restarts beside a running engine would else load all
        of the rank's weights again, through the store that groups share.
        Loads under way fail: after a start of the engine, the pieces that
        came before it are gone, and the last ones alone make no weight.
        """
        self._syncs += 1
        self._loaded = set(await self._engine.loaded())

    def retain(self, wanted: collections.abc.Collection[moves.Move]) -> None:
        """Forget loads that no map in use wants any more."""
        self._loaded.intersection_update(wanted)

    async def load(
        self,
        wanted: collections.abc.Collection[moves.Move],
        report: engine.Report,
    ) -> None:
        """Load what is not loaded yet, in pieces; urgent moves first."""
        syncs = self._syncs
        queue = moves.MoveQueue(wanted, PIECES_PER_MOVE, self._loaded)
        while not queue.progress.is_complete:
            piece = queue.start(self._urgent.must_pause())
            if piece is None:
                await asyncio.sleep(self._pause_seconds)
                continue
            await self._load_piece(queue, piece)
            if syncs != self._syncs:
                raise order_errors.RankNotReady('rank restarted in the load')
            self._note(piece, queue)
            progress = queue.progress
            report(progress.loaded / progress.total)

    async def _load_piece(
        self,
        queue: moves.MoveQueue,
        piece: moves.Piece,
    ) -> None:
        loading = asyncio.ensure_future(self._through_store(piece))
        warning = asyncio.ensure_future(self._urgent.wait_urgent())
        try:
            await self._first_of(loading, warning, piece.move.urgent)
        finally:
            warning.cancel()
            if not loading.done():
                queue.interrupt(piece)
                loading.cancel()
        if not loading.cancelled() and loading.done():
            loading.result()
            queue.finish(piece)

    def _note(self, piece: moves.Piece, queue: moves.MoveQueue) -> None:
        if queue.is_whole(piece):
            self._loaded.add(piece.move)

    async def _first_of(
        self,
        loading: asyncio.Future[None],
        warning: asyncio.Future[None],
        urgent: bool,
    ) -> None:
        if urgent:
            await asyncio.wait((loading,))
            return
        await asyncio.wait(
            (loading, warning),
            return_when=asyncio.FIRST_COMPLETED,
        )

    async def _through_store(self, piece: moves.Piece) -> None:
        await self._store.acquire(urgent=piece.move.urgent)
        await self._engine.load_piece(piece)
