"""Test that a stopping entry answers every request that it has read."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random

import attrs

from tamarackthread.entry.direct import (
    admission_control,
    call_runner,
    calls,
    poison_requests,
    retry_budgets,
    sink,
    stream_timing,
    target_client,
    targets,
)
from tamarackthread.generated import settings
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, response_body, stop_deadline
from tamarackthread.shared.site import announcements, configuration
from tests import policy_case

SERVICE = 's'
SEEDS = range(40)
CALLS = 30
TARGETS = 3
SLOTS = 2
STOP_SECONDS = 7.4
ROUTE = configuration.Route(
    name='r',
    host='h',
    prefix='/',
    kind=configuration.RouteKind.IDEMPOTENT,
    shares=(configuration.TrafficShare(SERVICE, 1),),
    timeout=8,
    latency_goal=0.4,
    attempts=3,
)


class _Limit:
    """As many calls as the targets have slots."""

    def max_calls(self, load, now):
        return load.slots

    def median_pass(self, now):
        return 0.05

    def record_pass(self, seconds, now):
        """Learn nothing."""


class _Answer:
    """An answer whose body is there."""

    def __init__(self):
        self.head = target_client.ResponseHead(200, [])
        self.trace = response_body.BodyTrace(response_body.Framing.LENGTH)

    async def whole(self):
        return b''


class _Client:
    """Run calls for drawn times; some are refused, lost or never answered."""

    def __init__(self, rng):
        self.random = rng
        self.ran = set()

    @contextlib.asynccontextmanager
    async def send(self, call, target, last_event_id):
        kind = self.random.choice(('good', 'good', 'silent', 'lost', 'refused'))
        await asyncio.sleep(self.random.uniform(0, 0.05))
        if kind == 'refused':
            raise target_client.Refused('full')
        self.ran.add(call.request.call_id)
        await asyncio.sleep(self.random.uniform(0, 4))
        if kind == 'lost':
            raise target_client.Lost('reset')
        if kind == 'silent':
            await asyncio.get_running_loop().create_future()
        yield _Answer()


class _Sink(sink.Sink):
    """Count the complete answers."""

    def __init__(self):
        self.count = 0

    @property
    def has_started(self):
        return False

    @property
    def timing(self):
        return stream_timing.StreamTiming()

    async def start(self, head):
        raise AssertionError

    async def write(self, piece):
        raise AssertionError

    async def finish(self):
        raise AssertionError

    async def whole(self, head, body):
        self.count += 1


@attrs.define
class _Ended:
    """How a call ended, and when on the loop's clock."""

    call_id: str
    at: float
    failure: errors.CodedError | None


class _Entry:
    """The decisions of an entry, without a network."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.stopping = stop_deadline.StopDeadline()
        self.client = _Client(self.random)
        self.known = targets.Targets('z', 1.0, self.random)
        self.admission = admission_control.AdmissionControl(
            self.known, lambda: 1, self.stopping
        )
        self.admission._set_limit(SERVICE, _Limit())
        loop = asyncio.get_running_loop()
        self.runner = call_runner.CallRunner(
            self.known,
            self.client,
            retry_budgets.RetryBudgets(
                settings.Site(seeds=(), link_port=1, retry_reserve=50),
                lambda: 1,
                loop.time,
            ),
            self.admission,
            poison_requests.PoisonRequests('e', self.known.is_replaced),
            self.random,
            self.stopping,
        )
        for number in range(TARGETS):
            self.known.take(
                announcements.Announcement(
                    target=f't{number}',
                    service=SERVICE,
                    address=f'10.0.0.{number}:80',
                    slots=SLOTS,
                )
            )
        self.known.set_other_loads({})
        self.admission.refill()

    async def run(self, number):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.random.uniform(0, 6))
        call = calls.Call(
            request=calls.CallRequest(
                call_id=f'c{number}',
                method='GET',
                host='h',
                path='/',
                headers=(),
            ),
            body=b'',
            route=ROUTE,
            service=SERVICE,
            organisation='',
            arrived_at=loop.time(),
            deadline=loop.time() + self.random.uniform(1, 20),
        )
        out = _Sink()
        failure = None
        try:
            await self.runner.run(call, out)
        except errors.CodedError as exc:
            failure = exc
        assert failure is not None or out.count == 1
        return _Ended(call.request.call_id, loop.time(), failure)

    async def stop(self):
        """Begin to stop at a drawn moment, and once more a little later."""
        await asyncio.sleep(self.random.uniform(0, 6))
        self.stopping.begin(STOP_SECONDS)
        ends_at = self.stopping.ends_at
        await asyncio.sleep(self.random.uniform(0, 3))
        self.stopping.begin(STOP_SECONDS)
        return ends_at


class DrawnStopsCase(policy_case.PausedCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_drawn_stops(self):
        """Guards against calls that wait in an entry until it is gone."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_paused(self._play(seed))

    async def _play(self, seed):
        entry = _Entry(seed)
        refilling = asyncio.create_task(self._refill(entry))
        ends_at, *ended = await asyncio.gather(
            entry.stop(), *(entry.run(number) for number in range(CALLS))
        )
        refilling.cancel()
        for row in ended:
            self.assertLessEqual(row.at, ends_at, row)
            if row.failure is None:
                continue
            is_not_run = row.failure.ran == messages.Ran.NOT_RUN
            self.assertFalse(
                is_not_run and row.call_id in entry.client.ran, row
            )

    async def _refill(self, entry):
        while True:
            await asyncio.sleep(0.2)
            entry.admission.refill()
