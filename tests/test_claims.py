"""Test the claims machine: one grant per key, expiry, limits, snapshots."""

import random
import unittest

from tamarackthread.control import claims
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_errors, claim_keys, claim_times, wire

KEEP = claim_times.MIN_TTL_MS
State = messages.ClaimState
KEY = b'k' * 16


def claim_operation(claim=b'first', key=KEY, digest=b'd', **more):
    return messages.ClaimOperation(
        claim=messages.ClaimRequest(
            shard='s',
            key=key,
            claim=claim,
            holder='entry',
            keep_ms=KEEP,
            digest=digest,
            **more,
        ),
    )


def finish_operation(state, fence, key=KEY, **more):
    return messages.ClaimOperation(
        finish=messages.ClaimFinish(
            shard='s',
            key=key,
            state=state,
            fence=fence,
            **more,
        ),
    )


def handover(target):
    return messages.Handover(
        target=target,
        address='a:1',
        incarnation=1,
        until_ms=1000,
    )


class Driver:
    """Apply operations with a stamp and a proposer, like a leader."""

    def __init__(self, **limits):
        self.machine = claims.ClaimsMachine(claims.Limits(**limits))
        self.index = 0
        self.stamp = 0
        self.proposer = 'one'

    def __call__(self, *operations):
        self.index += 1
        command = messages.ClaimCommand(
            proposer=self.proposer,
            stamp_ms=self.stamp,
            operations=list(operations),
        )
        answer = self.machine.apply(self.index, wire.encode(command))
        replies = wire.decode(messages.ClaimResults, answer).replies
        return replies[0] if len(replies) == 1 else replies


class GrantCase(unittest.TestCase):
    def setUp(self):
        self.apply = Driver()

    def test_only_a_retry_by_the_holder_is_granted(self):
        """Only a retry with the same claim id gets the grant of a key."""
        first = self.apply(claim_operation(b'first'))
        retried = self.apply(claim_operation(b'first'))
        other = self.apply(claim_operation(b'other'))
        self.assertTrue(first.granted)
        self.assertEqual((retried.granted, retried.fence), (True, first.fence))
        self.assertFalse(other.granted)
        self.assertEqual(other.state, State.GRANTED)
        self.assertEqual(other.claim, b'first')

    def test_key_for_another_request_is_a_mismatch(self):
        self.apply(claim_operation(digest=b'starter feed'))
        reused = self.apply(claim_operation(b'other', digest=b'sow feed'))
        self.assertTrue(reused.mismatch)
        self.assertEqual(reused.code, claim_errors.ClaimKeyReused.code)

    def test_complete_gives_the_answer_and_stays(self):
        fence = self.apply(claim_operation()).fence
        header = messages.Header(name='a', value='b')
        done = {'status': 201, 'headers': [header], 'body': b'booked'}
        self.assertTrue(
            self.apply(finish_operation(State.COMPLETE, fence, **done)).granted
        )
        for late in (State.UNKNOWN, State.RELEASED, State.RUNNING):
            self.assertFalse(
                self.apply(finish_operation(late, fence, move=1)).granted
            )
        reply = self.apply(claim_operation(b'other'))
        self.assertFalse(reply.granted)
        self.assertEqual(
            (reply.state, reply.status, reply.body, reply.headers),
            (State.COMPLETE, 201, b'booked', [header]),
        )

    def test_outcome_is_stored_without_a_large_response(self):
        fence = self.apply(claim_operation()).fence
        body = b'x' * (claims.MAX_ANSWER_BYTES + 1)
        self.apply(
            finish_operation(State.COMPLETE, fence, status=200, body=body)
        )
        reply = self.apply(claim_operation(b'other'))
        self.assertEqual((reply.state, reply.status), (State.COMPLETE, 0))

    def test_release_grants_again_under_a_higher_fence(self):
        first = self.apply(claim_operation(b'first'))
        self.apply(finish_operation(State.RELEASED, first.fence))
        second = self.apply(claim_operation(b'second'))
        self.assertTrue(second.granted)
        self.assertGreater(second.fence, first.fence)
        late = self.apply(
            finish_operation(State.COMPLETE, first.fence, status=200)
        )
        self.assertFalse(late.granted)
        self.assertEqual(late.state, State.GRANTED)

    def test_unknown_may_still_become_certain(self):
        fence = self.apply(claim_operation()).fence
        self.apply(finish_operation(State.UNKNOWN, fence))
        self.assertFalse(self.apply(claim_operation(b'other')).granted)
        late = self.apply(finish_operation(State.COMPLETE, fence, status=200))
        self.assertTrue(late.granted)

    def test_malformed_command_gets_a_reply(self):
        answer = self.apply.machine.apply(1, b'\xff\xff')
        results = wire.decode(messages.ClaimResults, answer)
        self.assertEqual(results.replies, [])
        empty = self.apply(messages.ClaimOperation())
        self.assertEqual(empty.code, claim_errors.ClaimInvalid.code)
        short = claim_operation()
        short.claim.keep_ms = KEEP - 1
        refused = self.apply(short)
        self.assertEqual(refused.code, claim_errors.ClaimInvalid.code)


class MoveCase(unittest.TestCase):
    def setUp(self):
        self.apply = Driver()
        self.fence = self.apply(claim_operation(handover=handover('a'))).fence

    def move(self, number, target):
        ended = finish_operation(
            State.RUNNING, self.fence, move=number, handover=handover(target)
        )
        return self.apply(ended)

    def test_late_handover_is_ignored(self):
        """A late retry of a handover does not restore an earlier target.

        Target ``b`` would prove "not run" although the call runs at ``c``.
        """
        self.move(1, 'b')
        self.move(2, 'c')
        late = self.move(1, 'b')
        self.assertFalse(late.granted)
        self.assertEqual(late.handover.target, 'c')

    def test_proof_of_an_earlier_target_releases_nothing(self):
        """A "not run" proof of an earlier target does not release a claim."""
        self.move(1, 'b')
        stale = self.apply(finish_operation(State.RELEASED, self.fence, move=0))
        self.assertFalse(stale.granted)
        self.assertEqual(stale.state, State.RUNNING)
        self.assertFalse(self.apply(claim_operation(b'other')).granted)

    def test_no_handover_after_a_release(self):
        self.apply(finish_operation(State.RELEASED, self.fence, move=0))
        self.assertFalse(self.move(1, 'b').granted)


class ExpiryCase(unittest.TestCase):
    def setUp(self):
        self.apply = Driver()

    def test_each_state_is_kept_for_its_time(self):
        for state in (None, State.UNKNOWN, State.COMPLETE):
            key = bytes([state or 0]) * 16
            fence = self.apply(claim_operation(key=key)).fence
            if state is not None:
                self.apply(finish_operation(state, fence, key=key, status=200))
            self.apply.stamp += KEEP - 1
            self.assertFalse(
                self.apply(claim_operation(b'other', key=key)).granted
            )
            self.apply.stamp += 1
            after = self.apply(claim_operation(b'other', key=key))
            self.assertTrue(after.granted)
            self.assertGreater(after.fence, fence)

    def test_outcome_is_kept_from_its_own_time(self):
        fence = self.apply(claim_operation()).fence
        self.apply.stamp += KEEP - 1
        self.apply(finish_operation(State.COMPLETE, fence, status=200))
        self.apply.stamp += KEEP - 1
        self.assertFalse(self.apply(claim_operation(b'other')).granted)

    def test_clock_of_a_new_leader_expires_nothing(self):
        """A new leader's unrelated clock does not expire claims early."""
        self.apply(claim_operation())
        self.apply.proposer = 'two'
        self.apply.stamp += 1000 * KEEP
        self.assertFalse(self.apply(claim_operation(b'other')).granted)
        self.apply.proposer = 'one'
        self.apply.stamp = KEEP - 1
        self.assertFalse(self.apply(claim_operation(b'other')).granted)
        self.assertEqual(self.apply.machine.clock_ms, 0)

    def test_clock_never_goes_back(self):
        self.apply(claim_operation())
        self.apply.stamp = 500
        self.apply(claim_operation())
        self.apply.stamp = 100
        self.apply(claim_operation())
        self.apply.stamp = 500
        self.apply(claim_operation())
        self.assertEqual(self.apply.machine.clock_ms, 500)


class BoundCase(unittest.TestCase):
    def test_full_shard_refuses_and_evicts_nothing(self):
        apply = Driver(claims=2)
        apply(claim_operation(key=b'a'), claim_operation(key=b'b'))
        refused = apply(claim_operation(key=b'c'))
        self.assertEqual(refused.code, claim_errors.ClaimsFull.code)
        self.assertFalse(apply(claim_operation(b'other', key=b'a')).granted)
        apply.stamp += KEEP
        self.assertTrue(apply(claim_operation(key=b'c')).granted)
        self.assertEqual(len(apply.machine), 1)

    def test_full_shard_drops_responses_before_outcomes(self):
        apply = Driver(record_bytes=1250)
        fences = [apply(claim_operation(key=key)).fence for key in (b'a', b'b')]
        body = b'x' * 500
        for key, fence in zip((b'a', b'b'), fences, strict=True):
            done = finish_operation(
                State.COMPLETE, fence, key=key, status=200, body=body
            )
            self.assertTrue(apply(done).granted)
        statuses = [
            apply(claim_operation(b'other', key=name)).status
            for name in (b'a', b'b')
        ]
        self.assertEqual(statuses, [200, 0])
        self.assertLessEqual(apply.machine.record_bytes, 1250)


class SnapshotCase(unittest.TestCase):
    def test_restored_members_go_on_alike(self):
        rng = random.Random(5)
        reference = Driver()
        other = Driver()
        fences = {}
        for step in range(600):
            key = bytes([rng.randrange(40)])
            fence = fences.get(key, 0)
            operation = rng.choice(
                [
                    claim_operation(bytes([rng.randrange(3)]), key=key),
                    finish_operation(
                        rng.choice(list(State)), fence, key=key, move=0
                    ),
                ],
            )
            stamp = reference.stamp + rng.randrange(KEEP // 20)
            proposer = rng.choice(['one', 'one', 'one', 'two'])
            replies = []
            for driver in (reference, other):
                driver.stamp = stamp
                driver.proposer = proposer
                replies.append(driver(operation))
            self.assertEqual(replies[0], replies[1])
            fences[key] = replies[0].fence or 0
            if step % 50 == 0:
                restored = claims.ClaimsMachine()
                restored.restore(other.machine.snapshot())
                other.machine = restored
            self.assertEqual(
                reference.machine.record_bytes, other.machine.record_bytes
            )
        self.assertEqual(reference.machine.snapshot(), other.machine.snapshot())
        self.assertGreater(len(reference.machine), 0)

    def test_empty_restore_starts_anew(self):
        driver = Driver()
        driver(claim_operation())
        driver.machine.restore(b'')
        self.assertEqual(len(driver.machine), 0)
        self.assertEqual(driver(claim_operation()).fence, 1)


class KeyCase(unittest.TestCase):
    def test_keys_of_organisations_differ(self):
        one = claim_keys.claim_key('dealer', 'order-1')
        two = claim_keys.claim_key('dealero', 'rder-1')
        self.assertNotEqual(one, two)

    def test_digest_tells_requests_apart(self):
        base = claim_keys.digest('POST', '/order', b'feed')
        for other in (
            ('PUT', '/order', b'feed'),
            ('POST', '/orderf', b'eed'),
            ('POST', '/order', b'feeds'),
        ):
            self.assertNotEqual(base, claim_keys.digest(*other))

    def test_home_region_first_and_order_does_not_matter(self):
        shards = [
            claim_keys.Shard(f's{number}', region, ())
            for number, region in enumerate(['east', 'east', 'west', 'west'])
        ]
        backwards = list(reversed(shards))
        used = set()
        for number in range(200):
            key = f'order-{number}'
            near = claim_keys.select_shard('o', key, shards, 'east')
            self.assertEqual(near.region, 'east')
            self.assertEqual(
                near, claim_keys.select_shard('o', key, backwards, 'east')
            )
            used.add(claim_keys.select_shard('o', key, shards, 'north').name)
        self.assertEqual(len(used), 4)

    def test_no_shard_is_refused(self):
        with self.assertRaises(claim_errors.ShardUnknown):
            claim_keys.select_shard('o', 'k', [], 'east')
