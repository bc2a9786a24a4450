"""Check a recorded history for what the replicated log promises.

A document's versions are consecutive numbers and a change says which one it
is based on.  That makes linearisability easy to decide: the versions are the
only possible order, so it's enough that the order agrees with real time.
"""

from __future__ import annotations

import collections
import collections.abc

from bench.history import events


STUCK = 'state: no host is current after all faults are healed'


def check(history: events.History) -> list[str]:
    """Return each violation as a short sentence, none for a sound run."""
    found: list[str] = []
    for rule in (
        _same_log,
        _applied_once,
        _refusals_held,
        _one_leader,
        _based,
        _order,
        _nothing_lost,
        _same_state,
    ):
        found.extend(rule(history))
    found.extend(history.shared_leases[:1])
    found.extend(history.reverts)
    found.extend(history.halts)
    return found


def _same_log(history: events.History) -> collections.abc.Iterator[str]:
    digests: dict[int, int] = {}
    for row in history.applied:
        known = digests.setdefault(row.index, row.digest)
        if known != row.digest:
            yield f'log: {row.node} applied another command at {row.index}'
            return


def _applied_once(history: events.History) -> collections.abc.Iterator[str]:
    places: dict[str, set[int]] = collections.defaultdict(set)
    for row in history.applied:
        if row.is_fresh_accept:
            places[row.change_id].add(row.index)
    for change_id, indexes in places.items():
        if len(indexes) > 1:
            yield f'dedupe: {change_id} took effect at {sorted(indexes)}'


def _refusals_held(history: events.History) -> collections.abc.Iterator[str]:
    """Find a change that took effect though its caller was told otherwise.

    A resend must get the first answer: a change that was accepted, but whose
    answer was lost, would else be told as a conflict with itself.
    """
    effective = {
        row.change_id for row in history.applied if row.is_fresh_accept
    }
    for done in history.operations:
        told_no = done.outcome in {events.REFUSED, events.CONFLICT}
        if told_no and done.change_id in effective:
            yield f'refusal: {done.change_id} {done.outcome} and took effect'


def _one_leader(history: events.History) -> collections.abc.Iterator[str]:
    for term, nodes in history.accepted_by.items():
        if len(nodes) > 1:
            yield f'leader: {sorted(nodes)} accepted in term {term}'


def _based(history: events.History) -> collections.abc.Iterator[str]:
    for done in history.operations:
        accepted = done.outcome == events.ACCEPTED
        if accepted and done.version != done.based_on + 1:
            yield f'based on: {done.change_id} made v{done.version} out of v{done.based_on}'


def _order(history: events.History) -> collections.abc.Iterator[str]:
    by_name: dict[str, list[events.Operation]] = collections.defaultdict(list)
    for done in history.operations:
        if done.outcome in {events.ACCEPTED, events.CONFLICT, events.READ}:
            by_name[done.name].append(done)
    for done in by_name.values():
        yield from _one_writer(done)
        yield from _real_time(done)


def _one_writer(
    done: list[events.Operation],
) -> collections.abc.Iterator[str]:
    bodies: dict[int, str] = {}
    for row in done:
        if row.outcome == events.CONFLICT or not row.version:
            continue
        known = bodies.setdefault(row.version, row.body)
        if known != row.body:
            yield f'order: {row.name} v{row.version} has two contents'


def _real_time(done: list[events.Operation]) -> collections.abc.Iterator[str]:
    """Find an operation that missed what had ended before it began."""
    starts = sorted(done, key=lambda row: row.began)
    ends = sorted(done, key=lambda row: row.ended)
    place = 0
    newest = 0
    for row in starts:
        while ends[place].ended < row.began:
            newest = max(newest, ends[place].version)
            place += 1
        before = row.version - int(row.outcome == events.ACCEPTED)
        if before < newest:
            yield (
                f'order: {row.outcome} of {row.name} v{row.version} at '
                f'{row.began:.3f} came after v{newest}'
            )


def _nothing_lost(history: events.History) -> collections.abc.Iterator[str]:
    for kept in history.kept:
        for done in history.operations:
            if done.outcome != events.ACCEPTED:
                continue
            held = kept.answers.get(done.change_id)
            newest = kept.versions.get(done.name, 0)
            if held != done.version or newest < done.version:
                yield f'lost: {kept.node} has no {done.change_id}'


def _same_state(history: events.History) -> collections.abc.Iterator[str]:
    if len({kept.state for kept in history.kept}) > 1:
        yield 'state: hosts differ after all faults are healed'
    if not history.kept:
        yield STUCK
