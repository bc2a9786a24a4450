"""Change the configuration while control hosts are killed and isolated.

Control hosts are real processes; at least 60 subscriber nodes share a few.
Operators race at 20 times the rate that the system is sized for.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile
import typing

from bench.config import faults, journal, operators, stand
from tamarackthread.generated.messages import ttypes as messages

CHANGES_A_DAY = 9000
TIMES_THE_RATE = 20
PER_SECOND = CHANGES_A_DAY * TIMES_THE_RATE / (24 * 60 * 60)
BETWEEN_ZONES_SECONDS = 0.0015
NODES = 64
CALM_CHANGES = 120
QUICK_CALM_CHANGES = 40
SETTLE_SECONDS = 4.0
SEED = 4
VOTERS = (3, 5)
AUDIT_PAGE = 500


def run(quick: bool) -> dict[str, typing.Any]:
    """Run with 3 and with 5 voters; the worse of both is what counts."""
    figures = {}
    for voters in VOTERS:
        print(f'{voters} voters, {NODES} nodes')
        figures[voters] = asyncio.run(_run(voters, quick))
        for name, figure in figures[voters].items():
            print(f'  {name:36} {figure}')
    names = figures[VOTERS[0]].keys()
    worst = {
        field: max(found[field] for found in figures.values())
        for field in names
    }
    worst['accepted'] = sum(found['accepted'] for found in figures.values())
    worst['changes'] = sum(found['changes'] for found in figures.values())
    worst['conflicts'] = sum(found['conflicts'] for found in figures.values())
    by_voters = {f'voters_{count}': figures[count] for count in VOTERS}
    return {**worst, 'nodes': NODES, **by_voters}


async def _run(voters: int, quick: bool) -> dict[str, typing.Any]:
    with tempfile.TemporaryDirectory() as folder:
        subject = stand.Stand(
            pathlib.Path(folder),
            NODES,
            BETWEEN_ZONES_SECONDS,
        )
        try:
            return await _measure(subject, voters, quick)
        finally:
            await subject.stop()


async def _measure(
    subject: stand.Stand,
    voters: int,
    quick: bool,
) -> dict[str, typing.Any]:
    operator = await subject.start(voters)
    rng = random.Random(SEED)
    racing = [subject.operator(f'operator-{number}') for number in range(2)]
    race = operators.Race(racing, rng)
    await asyncio.sleep(SETTLE_SECONDS)
    calm = QUICK_CALM_CHANGES if quick else CALM_CHANGES
    cost = await _calm(subject, race, calm)
    print('  faults')
    broken = faults.Faults(subject, operator, race)
    failovers = await broken.run(PER_SECOND)
    print('  catching up')
    caught_up = await broken.catch_up(race)
    await subject.wait_ready(operator)
    lost = await _lost(operator, race.tally)
    return _summary(subject, race.tally, broken.spans) | {
        'lost': lost,
        'failover_ms': max(failovers),
        'failover_killed_ms': failovers[0],
        'failover_isolated_ms': failovers[1],
        'catch_up_ms_after_1000': caught_up,
        **cost,
    }


async def _calm(
    subject: stand.Stand,
    race: operators.Race,
    changes: int,
) -> dict[str, float]:
    """Change at the rate while nothing fails, and take the cost."""
    loop = asyncio.get_running_loop()
    before = subject.cpu_seconds('subscriber')
    control_before = subject.cpu_seconds('control')
    bytes_before = subject.network.bytes_of.copy()
    began_at = loop.time()
    await race.run(changes, PER_SECOND)
    passed = loop.time() - began_at
    spent = _spent(before, subject.cpu_seconds('subscriber'))
    control = _spent(control_before, subject.cpu_seconds('control'))
    sent = subject.network.bytes_of - bytes_before
    nodes = [sent[name] / passed for name in sent if name.startswith('node')]
    hosts = [sent[name] / passed for name in sent if name.startswith('control')]
    return {
        'bytes_per_node_per_second': round(sum(nodes) / subject.nodes),
        'bytes_of_busiest_node_per_second': round(max(nodes)),
        'bytes_of_busiest_control_per_second': round(max(hosts)),
        'cpu_share_per_node': round(sum(spent) / passed / subject.nodes, 4),
        'cpu_share_of_busiest_node': round(max(spent) / passed, 4),
        'memory_mb_of_largest_node': subject.memory_mb('subscriber'),
        'memory_mb_of_largest_control': subject.memory_mb('control'),
        'cpu_share_of_busiest_control': round(max(control) / passed, 4),
    }


def _spent(
    before: dict[str, float],
    after: dict[str, float],
) -> list[float]:
    return [after[name] - before[name] for name in after]


def _summary(
    subject: stand.Stand,
    tally: operators.Tally,
    spans: typing.Sequence[journal.Span],
) -> dict[str, typing.Any]:
    book = journal.Journal(subject.logs)
    calm = []
    rough = []
    rough_from_asked = []
    for change in tally.accepted:
        at = book.in_force_at(change)
        if change.phase == operators.CALM:
            calm.append(at - change.accepted_at)
        if change.phase == operators.DISTURBED:
            rough.append(at - change.accepted_at)
            rough_from_asked.append(at - change.asked_at)
    return {
        'changes': tally.changes,
        'accepted': len(tally.accepted),
        'conflicts': tally.conflicts,
        'unanswered': tally.unanswered,
        'reverts': book.reverts(),
        'in_force_p50_ms': journal.percentile(calm, 0.5),
        'in_force_p99_ms': journal.percentile(calm, 0.99),
        'in_force_failover_p99_ms': journal.percentile(rough, 0.99),
        'asked_to_force_failover_p99_ms': journal.percentile(
            rough_from_asked,
            0.99,
        ),
        'calm_changes': len(calm),
        'disturbed_changes': len(rough),
        'lapsed_nodes_leader_killed': len(book.lapsed(spans[0])),
        'lapsed_nodes_leader_isolated': len(book.lapsed(spans[1])),
    }


async def _lost(
    operator: operators.Operator,
    tally: operators.Tally,
) -> int:
    """Count the accepted changes that the audit trail does not hold."""
    held = {}
    after = 0
    while True:
        asked = messages.AuditRequest(after=after, limit=AUDIT_PAGE)
        reply = await operator.ask(messages.Request(audit=asked))
        assert reply is not None
        records = reply.audit.records
        if not records:
            break
        for record in records:
            if record.outcome == 'accepted':
                held[record.revision] = record.after
        after = records[-1].revision
    return sum(
        held.get(revision) != body for revision, body in tally.bodies.items()
    )
