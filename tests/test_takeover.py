"""Test takeovers of a key's claim after its holder has died."""

import asyncio
import unittest

from tamarackthread.agent import claims as gates
from tamarackthread.control import failures
from tamarackthread.entry import claim_client, shard_claim_client, takeover
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_errors, errors
from tests import shards

State = messages.ClaimState
ANSWER = gates.Answer(201, (messages.Header('a', 'b'),), b'booked')


class Agents(takeover.Prober):
    """The claim gates of a service's agents, without a network."""

    def __init__(self):
        self.gates = {name: gates.ClaimGate(name, 1) for name in 'ab'}
        self.unreachable = False

    async def probe(self, handover, request):
        if self.unreachable:
            raise errors.AddressUnreachable(handover.address)
        return self.gates[handover.target].probe(request)


class Scene:
    """Two entries with the same shards and agents."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.agents = Agents()
        self.shards = shards.make()
        self.links = shards.LocalLinks(self.shards)
        self.first = shards.connect(self.links, 'entry-1')
        self.second = shards.connect(self.links, 'entry-2')
        self.resolver = takeover.Takeover(self.second, self.agents)

    def claimant(self, seconds=30, digest=b'd'):
        deadline = self.loop.time() + seconds
        return claim_client.Claimant('o', 'order-7', digest, deadline)

    def handover(self, target='a'):
        until_ms = int(self.loop.time() * 1000) + 5000
        return messages.Handover(target, 'a:1', 1, until_ms)

    async def claim_key(self):
        """Claim the key through the first entry."""
        claimant = self.claimant()
        reply = await self.first.claim(claimant, self.handover())
        assert reply.granted
        return claimant, reply

    def opening(self, claimant, grant):
        return messages.OpenCall(
            claim=claimant.name, fence=grant.fence, handover=grant.handover
        )

    async def resolve(self, seconds=10):
        """Send the key again through the second entry."""
        claimant = self.claimant()
        reply = await self.second.claim(claimant, self.handover('b'))
        until = self.loop.time() + seconds
        return await self.resolver.resolve(claimant, reply, until)

    def state(self):
        return shards.find(self.shards, 'o', 'order-7').state


class DeathCase(unittest.TestCase):
    @shards.virtual_time
    async def test_died_before_hand_over(self):
        """Guards against a late start of a call that was taken over."""
        scene = Scene()
        claimant, grant = await scene.claim_key()
        resolved = await scene.resolve()
        self.assertTrue(resolved.granted)
        self.assertGreater(resolved.fence, grant.fence)
        with self.assertRaises(claim_errors.ClaimFenced):
            scene.agents.gates['a'].admit(scene.opening(claimant, grant))
        moved = await scene.first.move(claimant, grant, scene.handover('b'))
        self.assertFalse(moved.granted)

    @shards.virtual_time
    async def test_died_while_it_runs(self):
        """Guards against a second run of a call that its agent still runs."""
        scene = Scene()
        claimant, grant = await scene.claim_key()
        gate = scene.agents.gates['a']
        gate.admit(scene.opening(claimant, grant))

        async def finish():
            await asyncio.sleep(3)
            gate.finish(scene.opening(claimant, grant), ANSWER)

        finishing = asyncio.ensure_future(finish())
        resolved = await scene.resolve()
        await finishing
        self.assertFalse(resolved.granted)
        self.assertEqual((resolved.status, resolved.body), (201, b'booked'))
        self.assertEqual(resolved.headers, list(ANSWER.headers))
        self.assertEqual(scene.state(), State.COMPLETE)

    @shards.virtual_time
    async def test_died_before_it_recorded_the_answer(self):
        scene = Scene()
        claimant, grant = await scene.claim_key()
        gate = scene.agents.gates['a']
        gate.admit(scene.opening(claimant, grant))
        gate.finish(scene.opening(claimant, grant), ANSWER)
        resolved = await scene.resolve()
        self.assertEqual((resolved.granted, resolved.body), (False, b'booked'))

    @shards.virtual_time
    async def test_died_and_the_answer_was_not_kept(self):
        """Guards against a second run if the agent kept no response."""
        scene = Scene()
        claimant, grant = await scene.claim_key()
        gate = scene.agents.gates['a']
        gate.admit(scene.opening(claimant, grant))
        gate.finish(scene.opening(claimant, grant), None)
        with self.assertRaises(claim_errors.ClaimMayHaveRun):
            await scene.resolve()
        self.assertIn(scene.state(), {State.GRANTED, State.UNKNOWN})

    @shards.virtual_time
    async def test_died_together_with_the_agent(self):
        """Guards against a proof from an agent that has restarted."""
        scene = Scene()
        await scene.claim_key()
        scene.agents.gates['a'] = gates.ClaimGate('a', 2)
        with self.assertRaises(claim_errors.ClaimMayHaveRun):
            await scene.resolve()

    @shards.virtual_time
    async def test_died_and_the_agent_is_cut_off(self):
        scene = Scene()
        await scene.claim_key()
        scene.agents.unreachable = True
        with self.assertRaises(claim_errors.ClaimMayHaveRun):
            await scene.resolve()

    @shards.virtual_time
    async def test_died_between_two_targets(self):
        """Guards against a probe of any agent but the last handover's."""
        scene = Scene()
        claimant, grant = await scene.claim_key()
        moved = await scene.first.move(claimant, grant, scene.handover('b'))
        self.assertTrue(moved.granted)
        gate = scene.agents.gates['b']
        gate.admit(scene.opening(claimant, moved))
        gate.finish(scene.opening(claimant, moved), ANSWER)
        resolved = await scene.resolve()
        self.assertEqual((resolved.granted, resolved.body), (False, b'booked'))

    @shards.virtual_time
    async def test_died_after_a_grant_without_a_hand_over(self):
        """Guards against an unresolvable grant that has no handover yet."""
        scene = Scene()
        await scene.claim_key()
        self.assertTrue((await scene.resolve()).granted)
        third = await scene.resolve()
        self.assertTrue(third.granted)
        self.assertIsNone(third.handover)


class SecondTryCase(unittest.TestCase):
    @shards.virtual_time
    async def test_waits_for_a_live_holder(self):
        scene = Scene()
        claimant, grant = await scene.claim_key()
        scene.agents.gates['a'].admit(scene.opening(claimant, grant))

        async def finish():
            await asyncio.sleep(0.5)
            outcome = claim_client.Outcome(State.COMPLETE, 200, (), b'ok')
            await scene.first.finish(claimant, grant, outcome)

        finishing = asyncio.ensure_future(finish())
        resolved = await scene.resolve()
        await finishing
        self.assertEqual((resolved.status, resolved.body), (200, b'ok'))

    @shards.virtual_time
    async def test_still_running_call_is_reported(self):
        scene = Scene()
        claimant, grant = await scene.claim_key()
        scene.agents.gates['a'].admit(scene.opening(claimant, grant))
        with self.assertRaises(claim_errors.ClaimStillRunning):
            await scene.resolve(seconds=5)

    @shards.virtual_time
    async def test_answer_too_large_to_keep(self):
        scene = Scene()
        claimant, grant = await scene.claim_key()
        await scene.first.finish(
            claimant, grant, claim_client.Outcome(State.COMPLETE)
        )
        with self.assertRaises(claim_errors.ClaimAnswerNotKept):
            await scene.resolve()

    @shards.virtual_time
    async def test_unknown_outcome_is_not_run_again(self):
        scene = Scene()
        claimant, grant = await scene.claim_key()
        scene.agents.unreachable = True
        await scene.first.finish(
            claimant, grant, claim_client.Outcome(State.UNKNOWN)
        )
        with self.assertRaises(claim_errors.ClaimMayHaveRun):
            await scene.resolve()

    @shards.virtual_time
    async def test_unknown_outcome_is_probed_again(self):
        """Guards against a final 'unknown' while the agent can still seal."""
        scene = Scene()
        claimant, grant = await scene.claim_key()
        await scene.first.finish(
            claimant, grant, claim_client.Outcome(State.UNKNOWN)
        )
        self.assertTrue((await scene.resolve()).granted)

    @shards.virtual_time
    async def test_two_second_tries_get_one_grant(self):
        scene = Scene()
        await scene.claim_key()
        tries = await asyncio.gather(
            scene.resolve(seconds=3),
            scene.resolve(seconds=3),
            return_exceptions=True,
        )
        granted = [reply for reply in tries if getattr(reply, 'granted', False)]
        fences = {reply.fence for reply in granted}
        self.assertEqual(len(fences), len(granted))
        last = shards.find(scene.shards, 'o', 'order-7')
        self.assertIn(last.fence, fences)

    @shards.virtual_time
    async def test_key_of_another_request(self):
        scene = Scene()
        await scene.claim_key()
        with self.assertRaises(claim_errors.ClaimKeyReused):
            await scene.second.claim(scene.claimant(digest=b'other'), None)


class ClientCase(unittest.TestCase):
    @shards.virtual_time
    async def test_lost_replies_are_retried(self):
        scene = Scene()
        scene.links.lost_replies = 3
        _, grant = await scene.claim_key()
        self.assertEqual(grant.fence, 1)
        self.assertEqual(set(scene.links.requests), {'claim'})
        self.assertEqual(len(scene.links.requests), 4)

    @shards.virtual_time
    async def test_no_quorum_is_may_have_run(self):
        """Guards against 'not run' without a quorum for the key's shard."""
        scene = Scene()
        for shard in scene.shards.values():
            shard.group.failure = failures.NotLeader()
        with self.assertRaises(claim_errors.ClaimsUnavailable):
            await scene.claim_key()
        ran = claim_errors.ClaimsUnavailable.ran
        self.assertEqual(ran, messages.Ran.MAY_HAVE_RUN)
        self.assertLessEqual(
            scene.loop.time(), shard_claim_client.CLAIM_SECONDS
        )

    @shards.virtual_time
    async def test_claims_share_proposals(self):
        scene = Scene()
        claimants = [
            claim_client.Claimant('o', f'order-{number}', b'd', 30)
            for number in range(400)
        ]
        replies = await asyncio.gather(
            *(scene.first.claim(claimant, None) for claimant in claimants)
        )
        self.assertTrue(all(reply.granted for reply in replies))
        proposals = sum(
            shard.group.proposals for shard in scene.shards.values()
        )
        self.assertLess(proposals, 100)

    @shards.virtual_time
    async def test_busy_shard_refuses(self):
        shard = shards.Shard()
        gathered = await asyncio.gather(
            *(
                shard.service.finish(messages.ClaimFinish(key=b'k', fence=1))
                for _ in range(6000)
            ),
            return_exceptions=True,
        )
        refused = [
            reply for reply in gathered if isinstance(reply, errors.CodedError)
        ]
        self.assertTrue(refused)
        self.assertEqual({reply.code for reply in refused}, {'TT4508'})


class RecordOutcomeCase(unittest.TestCase):
    @shards.virtual_time
    async def test_response_is_recorded_after_a_disconnect(self):
        scene = Scene()
        claimant, grant = await scene.claim_key()
        gate = scene.agents.gates['a']
        gate.admit(scene.opening(claimant, grant))
        until = scene.loop.time() + 60
        recording = asyncio.ensure_future(
            scene.resolver.record_outcome(claimant, grant, until)
        )
        await asyncio.sleep(5)
        self.assertEqual(scene.state(), State.GRANTED)
        gate.finish(scene.opening(claimant, grant), ANSWER)
        await recording
        self.assertEqual(scene.state(), State.COMPLETE)

    @shards.virtual_time
    async def test_unknown_is_recorded_without_any_proof(self):
        scene = Scene()
        claimant, grant = await scene.claim_key()
        scene.agents.unreachable = True
        await scene.resolver.record_outcome(
            claimant, grant, scene.loop.time() + 60
        )
        self.assertEqual(scene.state(), State.UNKNOWN)
