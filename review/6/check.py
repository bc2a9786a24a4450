"""A control host loses its disk right after it has acknowledged a farewell."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

from review.second import bed, clients, configs, replica, web

FOLDER = pathlib.Path(__file__).resolve().parent
# The control host that each replica has picked.  The second one leaves.
HOMES = (1, 0, 2, 1)
LEAVING = 1
# The core counts as stable this long after its last kill or start.
TOUCH_SECONDS = 3.0
DRAIN_SECONDS = 2.0
DOWN_SECONDS = 1.0
# How long the replica goes on serving after its farewell.
SERVE_SECONDS = 9.0
PAUSE_SECONDS = 0.04


async def check(test_bed: bed.Bed) -> bool:
    """Tell whether no request reached the replica after its drain."""
    replicas = [
        replica.Replica(
            test_bed, configs.PLAIN_SERVICE, number, home=HOMES[number]
        )
        for number in range(len(HOMES))
    ]
    for one in replicas:
        await one.start()
    await test_bed.start_all()
    await test_bed.configure(configs.plain())
    await replica.wait_announced(replicas)
    await test_bed.wait_ready()
    # All machines are in touch before the farewell.
    await asyncio.sleep(2 * TOUCH_SECONDS)
    leaving = replicas[LEAVING]
    asking = asyncio.create_task(_ask(test_bed))
    left_at = await _leave(test_bed, leaving)
    counts_from = left_at + DRAIN_SECONDS
    if test_bed.has_trouble:
        back_at = await _wipe(test_bed)
        counts_from = max(counts_from, back_at + TOUCH_SECONDS)
    await asyncio.sleep(left_at + SERVE_SECONDS - time.monotonic())
    asking.cancel()
    for one in replicas:
        await one.stop()
    return _judge(test_bed, replicas, left_at, counts_from)


async def _leave(test_bed: bed.Bed, leaving: replica.Replica) -> float:
    """Say farewell to the first control host; return when it was answered."""
    leaving.stop_announcing()
    if not await leaving.deregister(test_bed.controls[0]):
        raise bed.CannotRun('the farewell was not acknowledged')
    left_at = time.monotonic()
    if test_bed.has_trouble:
        test_bed.send_signal(0, 'control', signal.SIGKILL)
    test_bed.note(f'farewell of {leaving.name} was acknowledged')
    return left_at


async def _wipe(test_bed: bed.Bed) -> float:
    """Start the killed control host again with an empty disk."""
    await asyncio.sleep(DOWN_SECONDS)
    test_bed.wipe(0, 'control')
    test_bed.start(0, 'control')
    return time.monotonic()


async def _ask(test_bed: bed.Bed) -> None:
    """Send lookups to the entries of the machines without disruption."""
    number = 0
    while True:
        attempt = clients.new_id()
        request = clients.request(
            attempt, f'{configs.LOOKUPS}{number}', method='GET'
        )
        answer = await web.exchange(
            test_bed.front(1 + number % 2), request, seconds=2
        )
        test_bed.note(f'sent {attempt}; got {answer.start}')
        number += 1
        await asyncio.sleep(PAUSE_SECONDS)


def _judge(
    test_bed: bed.Bed,
    replicas: list[replica.Replica],
    left_at: float,
    counts_from: float,
) -> bool:
    leaving = replicas[LEAVING]
    late = [
        (arrived_at - left_at, request.get('Attempt-Id'))
        for arrived_at, request in leaving.ran
        if arrived_at > counts_from
    ]
    for after, attempt in late:
        test_bed.note(f'{attempt} reached {leaving.name} after {after:.3f} s')
    others = [len(one.ran) for one in replicas if one is not leaving]
    test_bed.note(f'{len(late)} requests came late; others ran {others}')
    if not any(others):
        raise bed.CannotRun('no request ran at another replica')
    return not late


if __name__ == '__main__':
    sys.exit(bed.run(FOLDER, check))
