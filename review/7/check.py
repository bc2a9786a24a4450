"""A replica sends one answer twice, the second time late."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

from review.second import bed, clients, configs, replica, web

FOLDER = pathlib.Path(__file__).resolve().parent
WORK_SECONDS = 0.06
# How late the second answer comes: while the next request is in work.
LATE_SECONDS = 0.05
PAUSE_SECONDS = 0.03
# The replica spoils answers for so long, at most this share of them.
SPOIL_SECONDS = 5.0
SPOILED_SHARE = 0.03
TOUCH_SECONDS = 3.0
STEADY_SECONDS = 12.0
# Answers on a connection before one is sent twice.
BEFORE_EXTRA = 5


class Spoiler:
    """The answers of a replica, of which some are sent twice."""

    def __init__(self, test_bed: bed.Bed) -> None:
        """Send each answer once."""
        self._bed = test_bed
        self._answers: dict[asyncio.StreamWriter, int] = {}
        self._late: set[asyncio.Task[None]] = set()
        self.spoils = False
        self.given = 0
        self.extras = 0

    async def answer(
        self,
        served_by: replica.Replica,
        request: web.Message,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer after a while, and perhaps once more."""
        await asyncio.sleep(WORK_SECONDS)
        body = f'for {request.target}'.encode()
        answer = served_by.encode(request, web.OK, body)
        writer.write(answer)
        await writer.drain()
        self.given += self.spoils
        count = self._answers.get(writer, 0) + 1
        self._answers[writer] = count
        if self.spoils and count == BEFORE_EXTRA:
            self.extras += 1
            late = asyncio.create_task(self._send_late(answer, writer))
            self._late.add(late)
            late.add_done_callback(self._late.discard)
        return True

    async def _send_late(
        self, answer: bytes, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(LATE_SECONDS)
        self._bed.note(f'an answer is sent again: {answer[:60]!r}')
        writer.write(answer)


class Tally:
    """How the requests of one kind ended while the state was steady."""

    def __init__(self) -> None:
        """Count nothing."""
        self.sent = 0
        self.served = 0

    @property
    def share(self) -> float:
        """Return the share that was served."""
        return self.served / max(1, self.sent)


async def check(test_bed: bed.Bed) -> bool:
    """Tell whether an added route is served as the first one is."""
    spoiler = Spoiler(test_bed)
    served_by = replica.Replica(
        test_bed, configs.PLAIN_SERVICE, 0, spoiler.answer
    )
    await served_by.start()
    await test_bed.start_all()
    first = configs.plain(7)
    await test_bed.configure(
        {**first, 'routes': first['routes'][:1]}  # type: ignore[index]
    )
    await replica.wait_announced([served_by])
    await test_bed.wait_ready()
    await asyncio.sleep(TOUCH_SECONDS)
    await test_bed.configure(configs.plain(8))
    await asyncio.sleep(TOUCH_SECONDS)
    tallies = {configs.ORDERS: Tally(), configs.LOOKUPS: Tally()}
    counts_from = time.monotonic() + SPOIL_SECONDS + TOUCH_SECONDS
    asking = [
        asyncio.create_task(
            _ask_until(test_bed, machine, prefix, tallies, counts_from)
        )
        for machine in range(len(test_bed.hosts))
        for prefix in tallies
    ]
    spoiler.spoils = test_bed.has_trouble
    await asyncio.sleep(SPOIL_SECONDS)
    spoiler.spoils = False
    await asyncio.gather(*asking)
    await served_by.stop()
    return _judge(test_bed, spoiler, tallies)


async def _ask_until(
    test_bed: bed.Bed,
    machine: int,
    prefix: str,
    tallies: dict[str, Tally],
    counts_from: float,
) -> None:
    """Send one request after the other to an entry."""
    number = 0
    method = 'POST' if prefix == configs.ORDERS else 'GET'
    while time.monotonic() < counts_from + STEADY_SECONDS:
        number += 1
        attempt = clients.new_id()
        sent_at = time.monotonic()
        answer = await web.exchange(
            test_bed.front(machine),
            clients.request(attempt, f'{prefix}{number}', method=method),
        )
        test_bed.note(
            f'{attempt} {prefix}{number} to front-{machine}: {answer.start}'
        )
        if sent_at > counts_from:
            tallies[prefix].sent += 1
            tallies[prefix].served += answer.status == web.OK
        await asyncio.sleep(PAUSE_SECONDS)


def _judge(
    test_bed: bed.Bed, spoiler: Spoiler, tallies: dict[str, Tally]
) -> bool:
    orders, lookups = tallies[configs.ORDERS], tallies[configs.LOOKUPS]
    test_bed.note(
        f'{spoiler.extras} of {spoiler.given} answers were sent twice'
    )
    if spoiler.extras > SPOILED_SHARE * spoiler.given:
        raise bed.CannotRun('the replica spoiled too many answers')
    test_bed.note(
        f'served in steady state: {orders.served} of {orders.sent} on the first '
        f'route, {lookups.served} of {lookups.sent} on the added one'
    )
    if lookups.sent < 20 or not orders.served:
        raise bed.CannotRun('too few requests')
    return lookups.share >= orders.share / 4


if __name__ == '__main__':
    sys.exit(bed.run(FOLDER, check))
