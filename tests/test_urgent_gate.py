"""Prove that the gate tells the weight loader of urgent calls."""

import asyncio
import types
import unittest

from tamarackthread.agent import claims, gate, weight_loading
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import moves
from tamarackthread.shared import target_errors

DEADLINE_SECONDS = 3600


class SlowClient:
    """Hold a call until told, then fail it."""

    def __init__(self):
        self.entered = asyncio.Event()
        self.going_on = asyncio.Event()

    async def send_call(self, opening, body, idle_seconds):
        self.entered.set()
        await self.going_on.wait()
        raise target_errors.TargetUnreachable()

    async def cancel(self, call_id):
        """Have nothing to stop."""


class Call:
    """Be a call without a body whose caller stays."""

    async def receive(self):
        """Give no part of a body, which is its end."""

    async def wait_failed(self):
        await asyncio.Event().wait()

    def finish(self, end):
        self.end = end


class UrgentGateCase(unittest.IsolatedAsyncioTestCase):
    async def near_while_open(self, priority):
        """Tell whether urgent work is near during a call and after it."""
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
        client.going_on.set()
        await serving
        return during, signal.must_pause()

    async def test_urgent_call(self):
        self.assertEqual(await self.near_while_open(0), (True, False))

    async def test_normal_call(self):
        self.assertEqual(await self.near_while_open(1), (False, False))
