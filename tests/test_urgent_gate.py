"""Test that the gate signals urgent calls to the weight loader."""

import asyncio
import types
import unittest

from tamarackthread.agent import claims, gate, weight_loading
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import moves
from tamarackthread.shared import target_errors

DEADLINE_SECONDS = 3600


class SlowClient:
    """Block a call until released, then fail it."""

    def __init__(self):
        self.entered = asyncio.Event()
        self.released = asyncio.Event()

    async def send_call(self, opening, body, idle_seconds):
        self.entered.set()
        await self.released.wait()
        raise target_errors.TargetUnreachable()

    async def cancel(self, call_id):
        """Do nothing."""


class Call:
    """Fake a call without a body whose link stays up."""

    async def receive(self):
        """Return the end of the body."""

    async def wait_failed(self):
        await asyncio.Event().wait()

    def finish(self, end):
        self.end = end


class UrgentGateCase(unittest.IsolatedAsyncioTestCase):
    async def pauses_around_call(self, priority):
        """Return whether loading pauses during a call and after it."""
        client = SlowClient()
        signal = weight_loading.UrgentSignal(
            moves.UrgentCallMonitor(pause_seconds=0)
        )
        guard = gate.Gate(
            gate.GateOptions(target_id='t', is_model=True, call_limit=1),
            client,
            types.SimpleNamespace(is_stuck=False),
            claims.ClaimGate('t', 1),
            signal,
        )
        opening = messages.OpenCall(
            call_id=b'1',
            target='t',
            priority=priority,
            deadline_ms=DEADLINE_SECONDS * 1000,
        )
        serving = asyncio.create_task(guard.serve(Call(), opening))
        await client.entered.wait()
        during = signal.must_pause()
        client.released.set()
        await serving
        return during, signal.must_pause()

    async def test_urgent_call(self):
        self.assertEqual(await self.pauses_around_call(0), (True, False))

    async def test_normal_call(self):
        self.assertEqual(await self.pauses_around_call(1), (False, False))
