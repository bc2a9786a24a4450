"""Estimate how long a call will wait, and when a refused one may return."""

from __future__ import annotations

import random

from tamarackthread.policy import allocator, call_queue, calls, queue_rates

_LEAST_RATE = 0.1
_MOST_FLOWS = 4096
_LEAST_SPARE = 0.3


class WaitEstimator:
    """Judge the queue of one service by how fast it drains."""

    def __init__(
        self,
        place: allocator.Allocator,
        line: call_queue.CallQueue,
        generator: random.Random,
    ) -> None:
        """Watch ``line``, which drains into ``place``."""
        self._room = place
        self._line = line
        self._retry_times = queue_rates.RetrySchedule(generator)
        self._meter = queue_rates.DrainMeter()
        self._flows: dict[str, queue_rates.DrainMeter] = {}
        self._asked: dict[str, queue_rates.ArrivalMeter] = {}
        self._mean_cost: float = 1

    def record_request(self, call: calls.CallFacts, now: float) -> None:
        """Note a call before it's known whether it may wait."""
        meter = self._asked.get(call.organisation)
        if meter is None:
            self._tidy(now)
            meter = queue_rates.ArrivalMeter()
            self._asked[call.organisation] = meter
        meter.add(call.cost, now)

    def record_enqueued(self, call: calls.CallFacts, now: float) -> None:
        """Note a call that now waits in the line."""
        self._mean_cost += (call.cost - self._mean_cost) / 64
        if _flow(call) not in self._flows:
            self._tidy(now)
            self._flows[_flow(call)] = queue_rates.DrainMeter()
        self._flows[_flow(call)].observe(True, now)
        self._meter.observe(True, now)

    def record_dequeued(
        self, call: calls.CallFacts, is_served: bool, now: float
    ) -> None:
        """Note a call that left the line.

        A call that was served without any wait doesn't count as served: a
        burst into free slots says nothing about how fast a queue drains.
        """
        flow = self._flows.get(_flow(call))
        if flow is not None:
            flow.record_served(call.cost if is_served else 0)
            flow.observe(self._line.flow_cost(call) > 0, now)
        self._meter.record_served(call.cost if is_served else 0)
        self._meter.observe(len(self._line) > 0, now)

    def drain_rate(self, now: float) -> float:
        """Return the cost a second that the whole line drains."""
        prior = max(1, self._room.service_rate(now)) * self._mean_cost
        return max(_LEAST_RATE, self._meter.rate(prior, now))

    def expected_wait(self, call: calls.CallFacts, now: float) -> float:
        """Return seconds until a new call like this would be served.

        Two estimates count: the fair order of what waits now, and how fast
        the organisation's calls of this priority were served lately.  The
        first knows nothing of calls still to come, which pass a background
        call again and again until it would have to be refused late.
        """
        rate = self.drain_rate(now)
        wait = self._line.cost_ahead(call) / rate
        flow = self._flows.get(_flow(call))
        if flow is None:
            return wait
        own = self._line.flow_cost(call)
        if call.priority == calls.Priority.BACKGROUND:
            own += call.cost
        prior = rate * self._line.share(call)
        return max(wait, own / max(_LEAST_RATE, flow.rate(prior, now)))

    def retry_after(self, call: calls.CallFacts, now: float) -> float:
        """Return seconds after which a refused call will find room.

        What new calls of the organisation use of its share isn't there for
        those that come back.  Some always is: the wave may end any moment.
        """
        share = self.drain_rate(now) * self._line.share(call)
        asked = self._asked.get(call.organisation)
        used = asked.rate(now) if asked else 0
        return self._retry_times.reserve(
            call.organisation,
            call.cost,
            max(_LEAST_SPARE * share, share - used),
            self.expected_wait(call, now),
            now,
        )

    def _tidy(self, now: float) -> None:
        if len(self._flows) + len(self._asked) < _MOST_FLOWS:
            return
        for organisation in list(self._asked):
            if self._asked[organisation].rate(now) < _LEAST_RATE:
                self._asked.pop(organisation)
        for flow in list(self._flows):
            if self._flows[flow].is_idle(now):
                self._flows.pop(flow)


def _flow(call: calls.CallFacts) -> str:
    return f'{call.organisation}/{call.priority:d}'
