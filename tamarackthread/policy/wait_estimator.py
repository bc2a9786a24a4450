"""Estimate how long a call waits and when a refused one may retry."""

from __future__ import annotations

import random

from tamarackthread.policy import allocator, call_queue, calls, queue_rates

_MIN_RATE = 0.1
_MAX_FLOWS = 4096
_MIN_SPARE_SHARE = 0.3


class WaitEstimator:
    """Estimate waits and retry times from the drain rate of a queue."""

    def __init__(
        self,
        capacity: allocator.Allocator,
        queue: call_queue.CallQueue,
        generator: random.Random,
    ) -> None:
        """Watch ``queue``, which drains into ``capacity``."""
        self._allocator = capacity
        self._queue = queue
        self._retry_schedule = queue_rates.RetrySchedule(generator)
        self._total_meter = queue_rates.DrainMeter()
        self._flow_meters: dict[str, queue_rates.DrainMeter] = {}
        self._arrival_meters: dict[str, queue_rates.ArrivalMeter] = {}
        self._mean_cost: float = 1

    def record_request(self, call: calls.CallFacts, now: float) -> None:
        """Count an arriving call, admitted or not."""
        meter = self._arrival_meters.get(call.organisation)
        if meter is None:
            self._evict_idle(now)
            meter = queue_rates.ArrivalMeter()
            self._arrival_meters[call.organisation] = meter
        meter.add(call.cost, now)

    def record_enqueued(self, call: calls.CallFacts, now: float) -> None:
        """Count a call that was queued."""
        self._mean_cost += (call.cost - self._mean_cost) / 64
        if _flow_key(call) not in self._flow_meters:
            self._evict_idle(now)
            self._flow_meters[_flow_key(call)] = queue_rates.DrainMeter()
        self._flow_meters[_flow_key(call)].observe(True, now)
        self._total_meter.observe(True, now)

    def record_dequeued(
        self, call: calls.CallFacts, is_served: bool, now: float
    ) -> None:
        """Count a call that left the queue, served after a wait or not."""
        # A burst into free slots doesn't show how fast the queue drains.
        flow = self._flow_meters.get(_flow_key(call))
        if flow is not None:
            flow.record_served(call.cost if is_served else 0)
            flow.observe(self._queue.flow_cost(call) > 0, now)
        self._total_meter.record_served(call.cost if is_served else 0)
        self._total_meter.observe(len(self._queue) > 0, now)

    def drain_rate(self, now: float) -> float:
        """Return the cost a second at which the whole queue drains."""
        prior = max(1, self._allocator.service_rate(now)) * self._mean_cost
        return max(_MIN_RATE, self._total_meter.rate(prior, now))

    def expected_wait(self, call: calls.CallFacts, now: float) -> float:
        """Return the seconds until this call would be served if queued now."""
        # The flow's own rate accounts for later calls that overtake it.
        rate = self.drain_rate(now)
        wait = self._queue.cost_ahead(call) / rate
        flow = self._flow_meters.get(_flow_key(call))
        if flow is None:
            return wait
        own = self._queue.flow_cost(call)
        if call.priority == calls.Priority.BACKGROUND:
            own += call.cost
        prior = rate * self._queue.share(call)
        return max(wait, own / max(_MIN_RATE, flow.rate(prior, now)))

    def retry_after(self, call: calls.CallFacts, now: float) -> float:
        """Return the seconds after which to retry a refused call."""
        # Retries get what new calls of the organisation leave of its share.
        share = self.drain_rate(now) * self._queue.share(call)
        arrivals = self._arrival_meters.get(call.organisation)
        used = arrivals.rate(now) if arrivals else 0
        return self._retry_schedule.reserve(
            call.organisation,
            call.cost,
            max(_MIN_SPARE_SHARE * share, share - used),
            self.expected_wait(call, now),
            now,
        )

    def _evict_idle(self, now: float) -> None:
        if len(self._flow_meters) + len(self._arrival_meters) < _MAX_FLOWS:
            return
        for organisation in list(self._arrival_meters):
            if self._arrival_meters[organisation].rate(now) < _MIN_RATE:
                self._arrival_meters.pop(organisation)
        for flow in list(self._flow_meters):
            if self._flow_meters[flow].is_idle(now):
                self._flow_meters.pop(flow)


def _flow_key(call: calls.CallFacts) -> str:
    return f'{call.organisation}/{call.priority:d}'
