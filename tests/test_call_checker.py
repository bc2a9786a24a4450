"""Prove that the checker of calls finds faults that are planted."""

import unittest

import attrs

from bench import load
from bench.checks import calls

Kind = calls.Kind
Outcome = load.Outcome
Promise = calls.Promise


def tried(call, kind, outcome=Outcome.COMPLETE, number=0, **more):
    """Make a try that holds all promises."""
    body = call if kind == Kind.KEYED else f'{call}/{number}'
    whole = f'answer to {body}'
    made = calls.Try(
        call=call,
        kind=kind,
        body=body,
        asked_at=10 + number,
        told_at=10.5 + number,
        outcome=outcome,
        text=whole if outcome == Outcome.COMPLETE else '',
        whole=whole,
    )
    return attrs.evolve(made, **more)


def start(made, at=None):
    return calls.Start(made.body, made.asked_at + 0.1 if at is None else at)


def found(tries, starts, windows=()):
    history = calls.History(tries, starts, windows)
    return {
        (violation.promise, violation.call)
        for violation in calls.check(history)
    }


class SoundCase(unittest.TestCase):
    def test_sound_history_has_no_violation(self):
        whole = [tried(f'c{kind.name}', kind) for kind in Kind]
        refused = tried('refused', Kind.KEYLESS, Outcome.REFUSED)
        again = tried('refused', Kind.KEYLESS, number=1)
        lost = tried('lost', Kind.KEYED, Outcome.MAY_HAVE_RUN)
        settled = tried('lost', Kind.KEYED, number=3)
        broken = tried('s', Kind.STREAM, Outcome.BROKEN, text='answer to')
        resumed = tried('s', Kind.STREAM, number=1)
        tries = [*whole, refused, again, lost, settled, broken, resumed]
        starts = [start(made) for made in (*whole, again, lost, broken)]
        starts += [start(broken), start(resumed), start(resumed)]
        self.assertEqual(found(tries, starts), set())
        self.assertEqual(set(calls.counts([]).values()), {0})

    def test_refusal_before_the_start_is_true(self):
        refused = tried('o', Kind.KEYED, Outcome.REFUSED)
        again = tried('o', Kind.KEYED, number=1)
        self.assertEqual(found([refused, again], [start(again)]), set())


class PlantedCase(unittest.TestCase):
    def test_call_that_was_never_answered(self):
        made = tried('o', Kind.LOOKUP, None)
        self.assertEqual(found([made], [start(made)]), {(Promise.LOST, 'o')})

    def test_order_told_complete_that_never_started(self):
        made = tried('o', Kind.KEYED)
        self.assertEqual(found([made], []), {(Promise.LOST, 'o')})

    def test_doubled_orders(self):
        keyed = [tried('k', Kind.KEYED), tried('k', Kind.KEYED, number=1)]
        unkeyed = tried('u', Kind.KEYLESS)
        again = tried('u', Kind.KEYLESS, number=1)
        tries = [*keyed, unkeyed, again]
        starts = [start(made) for made in tries]
        self.assertEqual(
            found(tries, starts),
            {(Promise.DOUBLED, 'k'), (Promise.DOUBLED, 'u')},
        )

    def test_order_started_twice_by_one_try(self):
        made = tried('u', Kind.KEYLESS, Outcome.MAY_HAVE_RUN)
        starts = [start(made), start(made)]
        self.assertEqual(found([made], starts), {(Promise.DOUBLED, 'u')})

    def test_refusal_of_a_call_that_started(self):
        for kind in Kind:
            made = tried('o', kind, Outcome.REFUSED)
            seen = found([made], [start(made)])
            self.assertEqual(seen, {(Promise.FALSE_NOT_RUN, 'o')})

    def test_refusal_of_a_key_that_an_earlier_try_ran(self):
        first = tried('o', Kind.KEYED, Outcome.BROKEN)
        second = tried('o', Kind.KEYED, Outcome.REFUSED, number=1)
        seen = found([first, second], [start(first)])
        self.assertEqual(seen, {(Promise.FALSE_NOT_RUN, 'o')})

    def test_answer_of_another_caller(self):
        made = tried('o', Kind.LOOKUP, text='answer to p/0')
        broken = tried('b', Kind.STREAM, Outcome.BROKEN, text='answer to x')
        seen = found([made, broken], [start(made), start(broken)])
        self.assertEqual(
            seen,
            {(Promise.WRONG_CALLER, 'o'), (Promise.WRONG_CALLER, 'b')},
        )

    def test_repeated_token(self):
        made = tried('o', Kind.STREAM)
        made = attrs.evolve(made, text=f'{made.text}{made.text[-1]}')
        seen = found([made], [start(made)])
        self.assertEqual(seen, {(Promise.WRONG_CALLER, 'o')})

    def test_short_answer_that_looks_whole(self):
        made = tried('o', Kind.STREAM, text='answer to')
        seen = found([made], [start(made)])
        self.assertEqual(seen, {(Promise.LOOKED_WHOLE, 'o')})


class PlannedStopCase(unittest.TestCase):
    def cut(self, *windows):
        made = tried('o', Kind.STREAM, Outcome.BROKEN)
        return found([made], [start(made)], windows)

    def test_cut_during_a_planned_stop(self):
        seen = self.cut(calls.Window(9, 11, planned=True))
        self.assertEqual(seen, {(Promise.CUT_BY_PLANNED_STOP, 'o')})

    def test_fault_at_the_same_time_takes_the_blame(self):
        planned = calls.Window(9, 11, planned=True)
        fault = calls.Window(10.4, 10.6, planned=False)
        self.assertEqual(self.cut(planned, fault), set())

    def test_cut_outside_of_any_window(self):
        self.assertEqual(self.cut(calls.Window(0, 9, planned=True)), set())

    def test_refusal_during_a_planned_stop_cuts_nothing(self):
        made = tried('o', Kind.KEYLESS, Outcome.REFUSED)
        window = calls.Window(9, 11, planned=True)
        self.assertEqual(found([made], [], [window]), set())
