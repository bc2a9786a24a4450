"""Set up the engines of the brief's sizes and deliver their lagged reports."""

from __future__ import annotations

import asyncio
import collections.abc
import random

from bench.surge import engine, workload
from tamarackthread.generated.messages import ttypes as messages

MODEL_REPLICAS = 12
PLAIN_REPLICAS = 3
MODEL_SLOTS = 16
PLAIN_SLOTS = 4
PLAIN_SECONDS = 0.04
CACHE_BLOCKS = 150
QUEUE_LIMIT = 32
REPORT_SECONDS = 0.1
LEAST_LAG_SECONDS = 0.1
MOST_LAG_SECONDS = 0.3
LOST_SHARE = 0.02
DOUBLED_SHARE = 0.02
STALL = engine.Stall(start=6, stop=20, factor=6)

NEAR_SECONDS = 0.0002
FAR_SECONDS = 0.0015
CALLER_SECONDS = 0.001

Receive = collections.abc.Callable[[messages.LoadReport], None]


class Fleet:
    """Hold the engines of both services."""

    def __init__(self, seed: int, queue_limit: int = QUEUE_LIMIT) -> None:
        """Build all engines; the first model replica is the one that stalls."""
        self._random = random.Random(seed)
        self.engines: dict[str, list[engine.Engine]] = {
            workload.MODEL: _models(queue_limit),
            workload.PLAIN: _plains(queue_limit),
        }

    async def publish(self, receivers: list[Receive]) -> None:
        """Send every engine's reports to all receivers until cancelled."""
        while True:
            for replicas in self.engines.values():
                for replica in replicas:
                    self._send(replica.report(), receivers)
            await asyncio.sleep(REPORT_SECONDS)

    def _send(
        self,
        report: messages.LoadReport,
        receivers: list[Receive],
    ) -> None:
        """Deliver late; some reports are lost, doubled or overtaken."""
        loop = asyncio.get_running_loop()
        for receive in receivers:
            drawn = self._random.random()
            copies = 1
            if drawn < LOST_SHARE:
                copies = 0
            if drawn > 1 - DOUBLED_SHARE:
                copies = 2
            for _ in range(copies):
                lag = self._random.uniform(LEAST_LAG_SECONDS, MOST_LAG_SECONDS)
                loop.call_later(lag, receive, _aged(report, lag))


def hop_seconds(entry: int, replica: engine.Engine) -> float:
    """Return the time one way between an entry and an engine."""
    if workload.ZONES[entry] == replica.zone:
        return NEAR_SECONDS
    return FAR_SECONDS


def _aged(report: messages.LoadReport, lag: float) -> messages.LoadReport:
    fields = {name: getattr(report, name) for name in report.__slots__}
    fields['age_ms'] = int(lag * 1000)
    return messages.LoadReport(**fields)


def _models(queue_limit: int) -> list[engine.Engine]:
    replicas: list[engine.Engine] = []
    for rank in range(MODEL_REPLICAS):
        replicas.append(
            engine.ModelEngine(
                f'model-{rank}',
                workload.ZONES[rank % 3],
                MODEL_SLOTS,
                queue_limit,
                CACHE_BLOCKS,
                None if rank else STALL,
            ),
        )
    return replicas


def _plains(queue_limit: int) -> list[engine.Engine]:
    replicas: list[engine.Engine] = []
    for rank in range(PLAIN_REPLICAS):
        replicas.append(
            engine.PlainEngine(
                f'plain-{rank}',
                workload.ZONES[rank],
                PLAIN_SLOTS,
                queue_limit,
                PLAIN_SECONDS,
            ),
        )
    return replicas
