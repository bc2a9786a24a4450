"""Prove that a shard grants each key once and forgets nothing early."""

import random
import unittest

from tamarackthread.control import claims
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_errors, claim_keys, claim_times, wire

KEEP = claim_times.MIN_TTL_MS
State = messages.ClaimState
KEY = b'k' * 16


def ask(claim=b'first', key=KEY, digest=b'd', **more):
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


def end(state, fence, key=KEY, **more):
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
    """Apply operations with stamps, as leaders would."""

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

    def test_first_wins_and_may_ask_again(self):
        """A second try learns the state, a resent claim its own grant.

        The answer to the first claim is lost and the claim is sent again
        under the same identity; another try of the same key comes after it.
        """
        first = self.apply(ask(b'first'))
        again = self.apply(ask(b'first'))
        other = self.apply(ask(b'other'))
        self.assertTrue(first.granted)
        self.assertEqual((again.granted, again.fence), (True, first.fence))
        self.assertFalse(other.granted)
        self.assertEqual(other.state, State.GRANTED)
        self.assertEqual(other.claim, b'first')

    def test_key_for_another_request_is_a_mismatch(self):
        self.apply(ask(digest=b'starter feed'))
        reused = self.apply(ask(b'other', digest=b'sow feed'))
        self.assertTrue(reused.mismatch)
        self.assertEqual(reused.code, claim_errors.ClaimKeyReused.code)

    def test_complete_gives_the_answer_and_stays(self):
        fence = self.apply(ask()).fence
        header = messages.Header(name='a', value='b')
        done = {'status': 201, 'headers': [header], 'body': b'booked'}
        self.assertTrue(self.apply(end(State.COMPLETE, fence, **done)).granted)
        for late in (State.UNKNOWN, State.RELEASED, State.RUNNING):
            self.assertFalse(self.apply(end(late, fence, move=1)).granted)
        seen = self.apply(ask(b'other'))
        self.assertFalse(seen.granted)
        self.assertEqual(
            (seen.state, seen.status, seen.body, seen.headers),
            (State.COMPLETE, 201, b'booked', [header]),
        )

    def test_large_answer_leaves_the_outcome(self):
        fence = self.apply(ask()).fence
        body = b'x' * (claims.MAX_ANSWER_BYTES + 1)
        self.apply(end(State.COMPLETE, fence, status=200, body=body))
        seen = self.apply(ask(b'other'))
        self.assertEqual((seen.state, seen.status), (State.COMPLETE, 0))

    def test_release_grants_again_under_a_higher_fence(self):
        first = self.apply(ask(b'first'))
        self.apply(end(State.RELEASED, first.fence))
        second = self.apply(ask(b'second'))
        self.assertTrue(second.granted)
        self.assertGreater(second.fence, first.fence)
        late = self.apply(end(State.COMPLETE, first.fence, status=200))
        self.assertFalse(late.granted)
        self.assertEqual(late.state, State.GRANTED)

    def test_unknown_may_still_become_certain(self):
        fence = self.apply(ask()).fence
        self.apply(end(State.UNKNOWN, fence))
        self.assertFalse(self.apply(ask(b'other')).granted)
        late = self.apply(end(State.COMPLETE, fence, status=200))
        self.assertTrue(late.granted)

    def test_garbage_is_answered(self):
        answer = self.apply.machine.apply(1, b'\xff\xff')
        results = wire.decode(messages.ClaimResults, answer)
        self.assertEqual(results.replies, [])
        empty = self.apply(messages.ClaimOperation())
        self.assertEqual(empty.code, claim_errors.ClaimInvalid.code)
        short = ask()
        short.claim.keep_ms = KEEP - 1
        refused = self.apply(short)
        self.assertEqual(refused.code, claim_errors.ClaimInvalid.code)


class MoveCase(unittest.TestCase):
    def setUp(self):
        self.apply = Driver()
        self.fence = self.apply(ask(handover=handover('a'))).fence

    def move(self, number, target):
        ended = end(
            State.RUNNING, self.fence, move=number, handover=handover(target)
        )
        return self.apply(ended)

    def test_late_move_does_not_point_back(self):
        """A second try asks the agent that has the call, not one that had it.

        The move to ``b`` is resent after a lost answer and is applied a
        second time after the move to ``c``.  Taken, the claim would name
        ``b``, which proves truthfully that nothing runs there.
        """
        self.move(1, 'b')
        self.move(2, 'c')
        late = self.move(1, 'b')
        self.assertFalse(late.granted)
        self.assertEqual(late.handover.target, 'c')

    def test_proof_about_an_earlier_target_releases_nothing(self):
        """The order isn't run again on a proof about the wrong target.

        A second try reads that the call is at ``a`` and has ``a`` seal it.
        Meanwhile the holder, refused by ``a``, records its move to ``b``.
        """
        self.move(1, 'b')
        stale = self.apply(end(State.RELEASED, self.fence, move=0))
        self.assertFalse(stale.granted)
        self.assertEqual(stale.state, State.RUNNING)
        self.assertFalse(self.apply(ask(b'other')).granted)

    def test_no_move_after_a_release(self):
        self.apply(end(State.RELEASED, self.fence, move=0))
        self.assertFalse(self.move(1, 'b').granted)


class ExpiryCase(unittest.TestCase):
    def setUp(self):
        self.apply = Driver()

    def test_each_state_is_kept_for_its_time(self):
        for state in (None, State.UNKNOWN, State.COMPLETE):
            key = bytes([state or 0]) * 16
            fence = self.apply(ask(key=key)).fence
            if state is not None:
                self.apply(end(state, fence, key=key, status=200))
            self.apply.stamp += KEEP - 1
            self.assertFalse(self.apply(ask(b'other', key=key)).granted)
            self.apply.stamp += 1
            after = self.apply(ask(b'other', key=key))
            self.assertTrue(after.granted)
            self.assertGreater(after.fence, fence)

    def test_outcome_is_kept_from_its_own_time(self):
        fence = self.apply(ask()).fence
        self.apply.stamp += KEEP - 1
        self.apply(end(State.COMPLETE, fence, status=200))
        self.apply.stamp += KEEP - 1
        self.assertFalse(self.apply(ask(b'other')).granted)

    def test_another_leaders_clock_forgets_nothing(self):
        """A second try after a change of leader doesn't run the order again.

        The clocks of two control hosts started at different times.  Read as
        one, the new leader's would put every claim past its keep time.
        """
        self.apply(ask())
        self.apply.proposer = 'two'
        self.apply.stamp += 1000 * KEEP
        self.assertFalse(self.apply(ask(b'other')).granted)
        self.apply.proposer = 'one'
        self.apply.stamp = KEEP - 1
        self.assertFalse(self.apply(ask(b'other')).granted)
        self.assertEqual(self.apply.machine.clock_ms, 0)

    def test_clock_never_goes_back(self):
        self.apply(ask())
        self.apply.stamp = 500
        self.apply(ask())
        self.apply.stamp = 100
        self.apply(ask())
        self.apply.stamp = 500
        self.apply(ask())
        self.assertEqual(self.apply.machine.clock_ms, 500)


class BoundCase(unittest.TestCase):
    def test_full_shard_refuses_and_forgets_nothing(self):
        apply = Driver(claims=2)
        apply(ask(key=b'a'), ask(key=b'b'))
        refused = apply(ask(key=b'c'))
        self.assertEqual(refused.code, claim_errors.ClaimsFull.code)
        self.assertFalse(apply(ask(b'other', key=b'a')).granted)
        apply.stamp += KEEP
        self.assertTrue(apply(ask(key=b'c')).granted)
        self.assertEqual(len(apply.machine), 1)

    def test_full_of_bytes_drops_answers_before_outcomes(self):
        apply = Driver(record_bytes=1250)
        fences = [apply(ask(key=key)).fence for key in (b'a', b'b')]
        body = b'x' * 500
        for key, fence in zip((b'a', b'b'), fences, strict=True):
            done = end(State.COMPLETE, fence, key=key, status=200, body=body)
            self.assertTrue(apply(done).granted)
        statuses = [
            apply(ask(b'other', key=name)).status for name in (b'a', b'b')
        ]
        self.assertEqual(statuses, [200, 0])
        self.assertLessEqual(apply.machine.record_bytes, 1250)


class SnapshotCase(unittest.TestCase):
    def test_restored_members_go_on_alike(self):
        generator = random.Random(5)
        kept = Driver()
        other = Driver()
        fences = {}
        for step in range(600):
            key = bytes([generator.randrange(40)])
            fence = fences.get(key, 0)
            operation = generator.choice(
                [
                    ask(bytes([generator.randrange(3)]), key=key),
                    end(generator.choice(list(State)), fence, key=key, move=0),
                ],
            )
            stamp = kept.stamp + generator.randrange(KEEP // 20)
            proposer = generator.choice(['one', 'one', 'one', 'two'])
            replies = []
            for driver in (kept, other):
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
                kept.machine.record_bytes, other.machine.record_bytes
            )
        self.assertEqual(kept.machine.snapshot(), other.machine.snapshot())
        self.assertGreater(len(kept.machine), 0)

    def test_empty_restore_starts_anew(self):
        driver = Driver()
        driver(ask())
        driver.machine.restore(b'')
        self.assertEqual(len(driver.machine), 0)
        self.assertEqual(driver(ask()).fence, 1)


class KeyCase(unittest.TestCase):
    def test_organisations_never_meet(self):
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
