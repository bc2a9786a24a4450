"""Test that a gate starts each claim at most once and honours its seals."""

import asyncio
import unittest

from tamarackthread.agent import claims
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_errors, claim_times
from tests import shards

KEY = b'k' * 16
WINDOW = 5000


def now():
    return int(asyncio.get_running_loop().time() * 1000)


def handover(target='a', incarnation=1, until=None):
    return messages.Handover(
        target=target,
        address='a:1',
        incarnation=incarnation,
        until_ms=now() + WINDOW if until is None else until,
    )


def call(fence=1, window=None, key=KEY):
    return messages.OpenCall(
        claim=key,
        fence=fence,
        handover=window or handover(),
    )


def probe(fence=1, window=None, seal=True, key=KEY):
    return messages.ClaimProbe(
        claim=key,
        fence=fence,
        seal=seal,
        handover=window or handover(),
    )


class GateCase(unittest.TestCase):
    def refused(self, gate, opening, error=claim_errors.ClaimFenced):
        with self.assertRaises(error):
            gate.admit(opening)

    @shards.virtual_time
    async def test_starts_once(self):
        gate = claims.ClaimGate('a', 1)
        gate.admit(call())
        self.refused(gate, call())
        gate.finish(call(), None)
        self.refused(gate, call())
        self.refused(gate, call(fence=2))

    @shards.virtual_time
    async def test_sealed_claim_never_starts(self):
        """A delayed call of the first holder doesn't run after a takeover."""
        gate = claims.ClaimGate('a', 1)
        proof = gate.probe(probe())
        self.assertTrue(proof.known and proof.sealed)
        self.assertFalse(proof.reached)
        self.refused(gate, call())
        gate.admit(call(fence=2))
        self.refused(gate, call())

    @shards.virtual_time
    async def test_started_claim_is_not_sealed(self):
        gate = claims.ClaimGate('a', 1)
        gate.admit(call())
        proof = gate.probe(probe())
        self.assertTrue(proof.reached)
        self.assertFalse(proof.sealed or proof.finished)
        answer = claims.Answer(201, (), b'booked')
        gate.finish(call(), answer)
        proof = gate.probe(probe())
        self.assertTrue(proof.finished and proof.answered)
        self.assertEqual((proof.status, proof.body), (201, b'booked'))

    @shards.virtual_time
    async def test_withdrawn_call_may_come_again(self):
        gate = claims.ClaimGate('a', 1)
        gate.admit(call())
        gate.withdraw(call())
        gate.finish(call(), None)
        self.assertFalse(gate.probe(probe(seal=False)).reached)
        gate.admit(call())

    @shards.virtual_time
    async def test_call_past_its_window_never_starts(self):
        """A call delayed past its window never runs: its claim may have been
        granted again.
        """
        gate = claims.ClaimGate('a', 1)
        late = call()
        await asyncio.sleep(WINDOW / 1000 + 0.01)
        self.refused(gate, late, claim_errors.HandoverExpired)
        far = handover(until=now() + claim_times.START_WINDOW_MS + 1)
        self.refused(gate, call(window=far), claim_errors.HandoverExpired)
        self.assertEqual(len(gate), 0)

    @shards.virtual_time
    async def test_other_process_or_start_is_refused(self):
        gate = claims.ClaimGate('a', 2)
        old = handover(incarnation=1)
        other = handover(target='b', incarnation=2)
        for window in (old, other):
            self.refused(
                gate, call(window=window), claim_errors.HandoverMismatch
            )
        without_handover = messages.OpenCall(claim=KEY, fence=1)
        self.refused(gate, without_handover, claim_errors.HandoverMismatch)

    @shards.virtual_time
    async def test_restart_proves_nothing_about_before(self):
        """A restarted agent doesn't report a call as not run that its earlier
        start may have run.
        """
        gate = claims.ClaimGate('a', 2)
        proof = gate.probe(probe(window=handover(incarnation=1)))
        self.assertFalse(proof.known or proof.sealed or proof.reached)

    @shards.virtual_time
    async def test_evicted_claim_is_unknown_and_never_starts(self):
        """A claim that ran isn't reported as not run after its eviction."""
        gate = claims.ClaimGate('a', 1)
        ran = call()
        gate.admit(ran)
        gate.finish(ran, claims.Answer(200, (), b'x'))
        await asyncio.sleep(claim_times.AGENT_TTL_MS / 1000 - 1)
        self.assertTrue(gate.probe(probe(window=ran.handover)).reached)
        await asyncio.sleep(WINDOW / 1000 + 2)
        proof = gate.probe(probe(window=ran.handover))
        self.assertFalse(proof.known or proof.sealed)
        self.assertEqual(len(gate), 0)
        self.refused(gate, ran, claim_errors.HandoverExpired)

    @shards.virtual_time
    async def test_running_claim_is_never_evicted(self):
        gate = claims.ClaimGate('a', 1)
        ran = call()
        gate.admit(ran)
        for _ in range(5):
            await asyncio.sleep(claim_times.AGENT_TTL_MS / 1000)
            gate.probe(probe(key=b'other'))
        self.refused(gate, call(fence=2))

    @shards.virtual_time
    async def test_unkeyed_call_is_evicted_sooner(self):
        gate = claims.ClaimGate('a', 1)
        ran = call(fence=claim_times.UNKEYED_FENCE)
        gate.admit(ran)
        gate.finish(ran, None)
        asked = probe(fence=claim_times.UNKEYED_FENCE, window=ran.handover)
        await asyncio.sleep(claim_times.UNKEYED_AGENT_TTL_MS / 1000 - 1)
        self.assertTrue(gate.probe(asked).reached)
        await asyncio.sleep(WINDOW / 1000 + 2)
        self.assertFalse(gate.probe(asked).known)
        self.assertEqual(len(gate), 0)

    @shards.virtual_time
    async def test_full_gate_refuses_and_seals_by_time_only(self):
        gate = claims.ClaimGate('a', 1, max_claims=1)
        gate.admit(call())
        window = handover()
        other = {'key': b'other', 'window': window}
        self.refused(gate, call(**other), claim_errors.GateFull)
        self.assertFalse(gate.probe(probe(**other)).sealed)
        await asyncio.sleep(WINDOW / 1000 + 0.01)
        self.assertTrue(gate.probe(probe(**other)).sealed)
