"""Prove what a second try gets when the first one died at any point."""

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
    """Be the agents of a service, as probes reach them."""

    def __init__(self):
        self.gates = {name: gates.ClaimGate(name, 1) for name in 'ab'}
        self.unreachable = False

    async def probe(self, handover, request):
        if self.unreachable:
            raise errors.AddressUnreachable(handover.address)
        return self.gates[handover.target].probe(request)


class Scene:
    """Put two entries before the same shards and agents."""

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

    async def hold(self):
        """Claim the key as the first try does."""
        claimant = self.claimant()
        reply = await self.first.claim(claimant, self.handover())
        assert reply.granted
        return claimant, reply

    def opening(self, claimant, held):
        return messages.OpenCall(
            claim=claimant.name, fence=held.fence, handover=held.handover
        )

    async def resolve(self, seconds=10):
        """Come as the second try of the same key."""
        claimant = self.claimant()
        reply = await self.second.claim(claimant, self.handover('b'))
        until = self.loop.time() + seconds
        return await self.resolver.resolve(claimant, reply, until)

    def state(self):
        return shards.find(self.shards, 'o', 'order-7').state


class DeathCase(unittest.TestCase):
    @shards.virtual_time
    async def test_died_before_hand_over(self):
        """The second try runs the order.

        The holder dies after its claim and before the hand-over.  The agent
        that the claim names has not seen the call and seals it, so it can't
        start later either.
        """
        scene = Scene()
        claimant, held = await scene.hold()
        settled = await scene.resolve()
        self.assertTrue(settled.granted)
        self.assertGreater(settled.fence, held.fence)
        with self.assertRaises(claim_errors.ClaimFenced):
            scene.agents.gates['a'].admit(scene.opening(claimant, held))
        moved = await scene.first.move(claimant, held, scene.handover('b'))
        self.assertFalse(moved.granted)

    @shards.virtual_time
    async def test_died_while_it_runs(self):
        """The second try waits and gets the first one's answer.

        The holder dies after the hand-over.  The agent runs the call to its
        end and keeps the answer, which the second try records and gives.
        """
        scene = Scene()
        claimant, held = await scene.hold()
        gate = scene.agents.gates['a']
        gate.admit(scene.opening(claimant, held))

        async def end():
            await asyncio.sleep(3)
            gate.finish(scene.opening(claimant, held), ANSWER)

        ending = asyncio.ensure_future(end())
        settled = await scene.resolve()
        await ending
        self.assertFalse(settled.granted)
        self.assertEqual((settled.status, settled.body), (201, b'booked'))
        self.assertEqual(settled.headers, list(ANSWER.headers))
        self.assertEqual(scene.state(), State.COMPLETE)

    @shards.virtual_time
    async def test_died_before_it_recorded_the_answer(self):
        scene = Scene()
        claimant, held = await scene.hold()
        gate = scene.agents.gates['a']
        gate.admit(scene.opening(claimant, held))
        gate.finish(scene.opening(claimant, held), ANSWER)
        settled = await scene.resolve()
        self.assertEqual((settled.granted, settled.body), (False, b'booked'))

    @shards.virtual_time
    async def test_died_and_the_answer_was_not_kept(self):
        """The second try is told 'may have run' and nothing runs again.

        The target broke in its answer, or the answer was too large to keep.
        """
        scene = Scene()
        claimant, held = await scene.hold()
        gate = scene.agents.gates['a']
        gate.admit(scene.opening(claimant, held))
        gate.finish(scene.opening(claimant, held), None)
        with self.assertRaises(claim_errors.ClaimMayHaveRun):
            await scene.resolve()
        self.assertIn(scene.state(), {State.GRANTED, State.UNKNOWN})

    @shards.virtual_time
    async def test_died_and_the_agent_too(self):
        """The second try is told 'may have run'.

        Entry and agent die together.  The agent's next start knows nothing
        of the time before, so there is no proof.
        """
        scene = Scene()
        await scene.hold()
        scene.agents.gates['a'] = gates.ClaimGate('a', 2)
        with self.assertRaises(claim_errors.ClaimMayHaveRun):
            await scene.resolve()

    @shards.virtual_time
    async def test_died_and_the_agent_is_cut_off(self):
        scene = Scene()
        await scene.hold()
        scene.agents.unreachable = True
        with self.assertRaises(claim_errors.ClaimMayHaveRun):
            await scene.resolve()

    @shards.virtual_time
    async def test_died_between_two_targets(self):
        """The second try asks the agent of the last recorded hand-over.

        The holder was refused by ``a``, recorded its move to ``b``, handed
        over and died.  ``a`` would prove truthfully that nothing ran there.
        """
        scene = Scene()
        claimant, held = await scene.hold()
        moved = await scene.first.move(claimant, held, scene.handover('b'))
        self.assertTrue(moved.granted)
        gate = scene.agents.gates['b']
        gate.admit(scene.opening(claimant, moved))
        gate.finish(scene.opening(claimant, moved), ANSWER)
        settled = await scene.resolve()
        self.assertEqual((settled.granted, settled.body), (False, b'booked'))

    @shards.virtual_time
    async def test_died_after_a_grant_without_a_hand_over(self):
        """A third try runs the order after the second one died too.

        A claim that was taken over names no agent until its holder records
        one, so nothing can have been handed over.
        """
        scene = Scene()
        await scene.hold()
        self.assertTrue((await scene.resolve()).granted)
        third = await scene.resolve()
        self.assertTrue(third.granted)
        self.assertIsNone(third.handover)


class SecondTryCase(unittest.TestCase):
    @shards.virtual_time
    async def test_waits_for_a_live_holder(self):
        scene = Scene()
        claimant, held = await scene.hold()
        scene.agents.gates['a'].admit(scene.opening(claimant, held))

        async def end():
            await asyncio.sleep(0.5)
            finish = claim_client.Outcome(State.COMPLETE, 200, (), b'ok')
            await scene.first.finish(claimant, held, finish)

        ending = asyncio.ensure_future(end())
        settled = await scene.resolve()
        await ending
        self.assertEqual((settled.status, settled.body), (200, b'ok'))

    @shards.virtual_time
    async def test_is_told_that_it_still_runs(self):
        scene = Scene()
        claimant, held = await scene.hold()
        scene.agents.gates['a'].admit(scene.opening(claimant, held))
        with self.assertRaises(claim_errors.ClaimStillRunning):
            await scene.resolve(seconds=5)

    @shards.virtual_time
    async def test_answer_too_large_to_keep(self):
        scene = Scene()
        claimant, held = await scene.hold()
        await scene.first.finish(
            claimant, held, claim_client.Outcome(State.COMPLETE)
        )
        with self.assertRaises(claim_errors.ClaimAnswerNotKept):
            await scene.resolve()

    @shards.virtual_time
    async def test_unknown_outcome_is_not_run_again(self):
        scene = Scene()
        claimant, held = await scene.hold()
        scene.agents.unreachable = True
        await scene.first.finish(
            claimant, held, claim_client.Outcome(State.UNKNOWN)
        )
        with self.assertRaises(claim_errors.ClaimMayHaveRun):
            await scene.resolve()

    @shards.virtual_time
    async def test_unknown_outcome_is_asked_once_more(self):
        """The second try runs the order after its agent came back.

        The holder could not reach the agent and recorded 'unknown'.  The
        agent was only cut off: it never saw the call and seals it.
        """
        scene = Scene()
        claimant, held = await scene.hold()
        await scene.first.finish(
            claimant, held, claim_client.Outcome(State.UNKNOWN)
        )
        self.assertTrue((await scene.resolve()).granted)

    @shards.virtual_time
    async def test_two_second_tries_get_one_grant(self):
        scene = Scene()
        await scene.hold()
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
        await scene.hold()
        with self.assertRaises(claim_errors.ClaimKeyReused):
            await scene.second.claim(scene.claimant(digest=b'other'), None)


class ClientCase(unittest.TestCase):
    @shards.virtual_time
    async def test_lost_answers_are_asked_for_again(self):
        scene = Scene()
        scene.links.lose_answers = 3
        _, held = await scene.hold()
        self.assertEqual(held.fence, 1)
        self.assertEqual(set(scene.links.asked), {'claim'})
        self.assertEqual(len(scene.links.asked), 4)

    @shards.virtual_time
    async def test_no_quorum_is_may_have_run(self):
        """The caller isn't told 'not run' while nobody knows the key.

        This may be its second try: the first one may have run through
        another entry, and a caller told 'not run' would order anew.
        """
        scene = Scene()
        for shard in scene.shards.values():
            shard.group.failure = failures.NotLeader()
        with self.assertRaises(claim_errors.ClaimsUnavailable):
            await scene.hold()
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


class CollectCase(unittest.TestCase):
    @shards.virtual_time
    async def test_answer_is_recorded_for_a_caller_that_left(self):
        scene = Scene()
        claimant, held = await scene.hold()
        gate = scene.agents.gates['a']
        gate.admit(scene.opening(claimant, held))
        until = scene.loop.time() + 60
        collecting = asyncio.ensure_future(
            scene.resolver.record_outcome(claimant, held, until)
        )
        await asyncio.sleep(5)
        self.assertEqual(scene.state(), State.GRANTED)
        gate.finish(scene.opening(claimant, held), ANSWER)
        await collecting
        self.assertEqual(scene.state(), State.COMPLETE)

    @shards.virtual_time
    async def test_unknown_is_recorded_without_any_proof(self):
        scene = Scene()
        claimant, held = await scene.hold()
        scene.agents.unreachable = True
        await scene.resolver.record_outcome(
            claimant, held, scene.loop.time() + 60
        )
        self.assertEqual(scene.state(), State.UNKNOWN)
