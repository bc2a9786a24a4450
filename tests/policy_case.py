"""Helpers for tests of policies on a virtual clock."""

import asyncio
import random
import unittest

import async_solipsism

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import (
    admission,
    allocator,
    calls,
    fairness,
    routing,
    target_load,
)

SEED = 20261202


class PausedCase(unittest.TestCase):
    """Run a test's coroutine on a virtual clock."""

    def run_paused(self, work):
        with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
            return runner.run(asyncio.wait_for(work, 600))


def report(sequence, running=0, queued=0, age_ms=0, **fields):
    """Build a load report of 4 slots and steps of 10 ms."""
    known = {
        'target': 't',
        'batch_slots': 4,
        'step_ms': 10.0,
        'queued_tokens': 0,
    }
    return messages.LoadReport(
        sequence=sequence,
        running=running,
        queued=queued,
        age_ms=age_ms,
        **{**known, **fields},
    )


def call(organisation='a', deadline=10.0, **fields):
    """Build a call."""
    return calls.CallFacts(
        organisation=organisation, deadline=deadline, **fields
    )


def view(name, zone='east', entries=1):
    """Build an idle target of 4 slots whose calls take 0.1 s."""
    settings = target_load.LoadSettings(
        entries=entries,
        batch_slots=4,
        step_seconds=0.01,
        service_seconds=0.1,
        queue_seconds=0,
    )
    return routing.TargetView(
        name=name, zone=zone, load=target_load.TargetLoad(settings)
    )


def build_admission(views, **fields):
    """Build the admission of some targets."""
    generator = random.Random(SEED)
    policy = routing.ExpectedFirstToken('east', generator)
    capacity = allocator.TargetAllocator(
        policy, allocator.AllocatorSettings(urgent_extra=0)
    )
    capacity.set_targets(views)
    settings = admission.AdmissionSettings(**fields.pop('settings', {}))
    shares = fields.pop('shares', fairness.EqualShares())
    return admission.Admission(capacity, shares, generator, settings, **fields)
