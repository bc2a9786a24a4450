"""An entry is stopped as planned while requests wait in it for a free slot."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import signal
import sys
import time

from review.second import bed, clients, configs, replica, streams, web

FOLDER = pathlib.Path(__file__).resolve().parent
DEADLINE_MS = 8050
TIMEOUT_SECONDS = 8.0
GRACE_SECONDS = 8.0
SLACK_SECONDS = 0.2
REPLICAS = 3
# Clients with an open connection to the entry that is stopped.
KEPT = 12
# Steady traffic, from the start to the end: 12 requests a second, of which the
# six slots can run 4.3.
PAUSE_SECONDS = 0.25
STEADY_SECONDS = 9.0
# How long after the signal clients still use connections that they have open.
KEPT_SECONDS = 2.5
STOPPED = 0


@dataclasses.dataclass
class Asked:
    """A request to one machine, and how it ended."""

    machine: int
    attempt: str = dataclasses.field(default_factory=clients.new_id)
    sent_at: float = dataclasses.field(default_factory=time.monotonic)
    ended_at: float = 0
    answer: web.Message = dataclasses.field(default_factory=web.Message)

    @property
    def took(self) -> float:
        """Return the seconds until the answer or the end without one."""
        return self.ended_at - self.sent_at


async def check(test_bed: bed.Bed) -> bool:
    """Tell whether the stopped entry answered all that it had read."""
    replicas = await _start(test_bed)
    asked: list[Asked] = []
    stop_at = time.monotonic() + STEADY_SECONDS
    end_at = stop_at + GRACE_SECONDS + 1
    asking = [
        asyncio.create_task(
            _ask_until(
                test_bed,
                asked,
                machine,
                stop_at if machine == STOPPED else end_at,
            )
        )
        for machine in range(len(test_bed.hosts))
    ]
    kept = await _open_connections(test_bed)
    await asyncio.sleep(stop_at - time.monotonic())
    if test_bed.has_trouble:
        test_bed.send_signal(STOPPED, 'entry', signal.SIGTERM)
    await _ask_on(test_bed, asked, kept)
    await asyncio.gather(*asking)
    for one in replicas:
        await one.stop()
    return _judge(test_bed, replicas, asked, stop_at)


async def _start(test_bed: bed.Bed) -> list[replica.Replica]:
    replicas = []
    for number in range(REPLICAS):
        engine = streams.Engine()
        replicas.append(
            replica.Replica(
                test_bed,
                configs.MODEL_SERVICE,
                number,
                engine.answer,
                slots=streams.SLOTS,
            )
        )
    replicas.append(replica.Replica(test_bed, configs.PLAIN_SERVICE, REPLICAS))
    for one in replicas:
        await one.start()
    await test_bed.start_all()
    await test_bed.configure(configs.with_model())
    await replica.wait_announced(replicas)
    await test_bed.wait_ready()
    return replicas


async def _ask_until(
    test_bed: bed.Bed, asked: list[Asked], machine: int, until: float
) -> None:
    """Send requests to an entry, each on a new connection."""
    asking = []
    while time.monotonic() < until:
        one = Asked(machine)
        asked.append(one)
        asking.append(asyncio.create_task(_ask(test_bed, one)))
        await asyncio.sleep(PAUSE_SECONDS)
    await asyncio.gather(*asking)


async def _open_connections(test_bed: bed.Bed) -> list[web.Kept]:
    """Open connections to the entry, and look something up on each."""
    kept = [await web.keep(test_bed.front(STOPPED)) for _ in range(KEPT)]
    for connection in kept:
        lookup = clients.request(
            clients.new_id(), f'{configs.LOOKUPS}5', method='GET'
        )
        answer = await connection.exchange(lookup, seconds=2)
        if answer.status != web.OK:
            raise bed.CannotRun(f'a lookup got {answer.start}')
    return kept


async def _ask_on(
    test_bed: bed.Bed, asked: list[Asked], kept: list[web.Kept]
) -> None:
    """Send one request on each open connection, in even steps."""
    asking = []
    for connection in kept:
        one = Asked(STOPPED)
        asked.append(one)
        asking.append(asyncio.create_task(_ask(test_bed, one, connection)))
        await asyncio.sleep(KEPT_SECONDS / KEPT)
    await asyncio.gather(*asking)
    for connection in kept:
        connection.close()


async def _ask(
    test_bed: bed.Bed, asked: Asked, kept: web.Kept | None = None
) -> None:
    request = clients.request(
        asked.attempt,
        f'{configs.DRAFTS}2f',
        b'{"note": "starter feed"}',
        [('Model', 'm'), ('Token-Counts', '674,70')],
        deadline_ms=DEADLINE_MS,
    )
    seconds = DEADLINE_MS / 1000
    if kept is None:
        front = test_bed.front(asked.machine)
        asked.answer = await web.exchange(front, request, seconds)
    else:
        asked.answer = await kept.exchange(request, seconds)
    asked.ended_at = time.monotonic()
    test_bed.note(
        f'{asked.attempt} to front-{asked.machine} ended after '
        f'{asked.took:.3f} s: {asked.answer.start}'
    )


def _judge(
    test_bed: bed.Bed,
    replicas: list[replica.Replica],
    asked: list[Asked],
    stop_at: float,
) -> bool:
    ran = {
        request.get('Attempt-Id') for one in replicas for _, request in one.ran
    }
    test_bed.note(f'replicas were sent {sorted(ran)}')
    lost = [
        one
        for one in asked
        if one.machine == STOPPED
        and one.attempt not in ran
        and _was_cut(one, stop_at)
    ]
    for cut in lost:
        test_bed.note(
            f'{cut.attempt} was read, never passed on, and ended without an '
            f'answer after {cut.took:.3f} s'
        )
    answered = sum(one.answer.status == web.OK for one in asked)
    test_bed.note(f'{len(lost)} lost; {answered} of {len(asked)} had a success')
    if not answered:
        raise bed.CannotRun('no request had a success')
    return not lost


def _was_cut(asked: Asked, stop_at: float) -> bool:
    """Tell whether a request ended as the rule forbids it."""
    if asked.answer.status or asked.ended_at > stop_at + GRACE_SECONDS + 1:
        return False
    return SLACK_SECONDS < asked.took < TIMEOUT_SECONDS


if __name__ == '__main__':
    sys.exit(bed.run(FOLDER, check))
