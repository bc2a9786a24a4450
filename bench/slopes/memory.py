"""Measure what documents, claims, log records and maps take in memory.

These need no process of their own: the product's classes are filled here and
the interpreter counts what they hold.  Times are processor time.
"""

from __future__ import annotations

import collections.abc
import json
import time
import tracemalloc
import typing

from tamarackthread.control import claims, configuration
from tamarackthread.entry import directory
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import expert_map
from tamarackthread.shared import catalogue, wire

from bench.slopes import control, fit

KIBI = 1024
MICRO = 1e6
BATCH = 64
GROUP_LAYERS = (15, 29, 58)


def run(quick: bool) -> list[fit.Slope]:
    """Measure all of them."""
    few = (200, 400, 800) if quick else (500, 1000, 2000)
    return [
        *_node_documents(few),
        *_control_documents(few),
        *_claims(few),
        _log_records(few),
        *_expert_maps(),
    ]


def _held(
    build: collections.abc.Callable[..., typing.Any],
    *given: typing.Any,
) -> float:
    tracemalloc.start()
    try:
        # The result is kept until the memory was read.
        built = build(*given)
        taken = tracemalloc.get_traced_memory()[0]
        del built  # noqa: WPS420
        return float(taken)
    finally:
        tracemalloc.stop()


def _timed(
    work: collections.abc.Callable[..., typing.Any],
    *given: typing.Any,
) -> float:
    began = time.process_time()
    work(*given)
    return time.process_time() - began


def _body(number: int) -> str:
    return json.dumps(control.organisation(number))


def _target(number: int) -> str:
    return json.dumps(target_body(number))


def _node_documents(sizes: tuple[int, ...]) -> list[fit.Slope]:
    names = {
        'organisation': _body,
        'target': _target,
    }
    slopes = []
    for kind, body in names.items():
        points = []
        for size in sizes:
            taken = _held(_follow, kind, size, body)
            points.append((float(size), taken))
        slopes.append(
            fit.fit(f'{kind}_memory_node', 'KiB', points, 1 / KIBI),
        )
    return slopes


def _follow(
    kind: str,
    size: int,
    body: collections.abc.Callable[[int], str],
) -> tuple[catalogue.Catalogue, directory.Directory]:
    held = catalogue.Catalogue()
    for number in range(size):
        document = messages.Document(
            kind=kind,
            name=f'{kind}-{number:06}',
            version=1,
            body=body(number),
            revision=number + 1,
        )
        # A document comes off the wire, where it shares nothing.
        held.put(wire.decode(messages.Document, wire.encode(document)))
    held.advance(size)
    known = directory.Directory()
    known.update(held)
    return held, known


def target_body(number: int) -> dict[str, typing.Any]:
    """Build a target as its agent announces it."""
    return {
        'service': f'drafts-{number % 15}',
        'region': f'region-{number % 6}',
        'zone': f'zone-{number % 14}',
        'address': f'10.1.{number >> 8}.{number & 255}:7100',
        'group': f'group-{number >> 2}',
        'ranks': 32,
        'incarnation': 1_700_000_000_000 + number,
    }


def _control_documents(sizes: tuple[int, ...]) -> list[fit.Slope]:
    memory = []
    snapshot_bytes = []
    taking = []
    installing = []
    for size in sizes:
        memory.append((float(size), _held(_configured, size)))
        held = _configured(size)
        taken = held.snapshot()
        snapshot_bytes.append((float(size), float(len(taken))))
        for _ in range(2):
            taking.append((float(size), _timed(held.snapshot)))
            fresh = configuration.Configuration()
            installing.append(
                (float(size), _timed(fresh.restore, taken)),
            )
    return [
        fit.fit('document_memory_control', 'KiB', memory, 1 / KIBI),
        fit.fit('snapshot_bytes', 'bytes a document', snapshot_bytes),
        fit.fit('snapshot_cpu', 'us a document', taking, MICRO),
        fit.fit('snapshot_install_cpu', 'us a document', installing, MICRO),
    ]


def _configured(size: int) -> configuration.Configuration:
    machine = configuration.Configuration()
    for number in range(size):
        change = messages.ChangeRequest(
            change_id=f'{number:032x}',
            actor='operator',
            origin='10.0.0.1',
            kind='organisation',
            name=f'organisation-{number:06}',
            based_on=0,
            body=_body(number),
        )
        command = messages.ConfigCommand(
            unix_ms=1_700_000_000_000,
            elapsed_ms=1,
            change=change,
            findings=[],
        )
        machine.apply(number + 1, wire.encode(command))
    return machine


def _claims(sizes: tuple[int, ...]) -> list[fit.Slope]:
    memory = []
    applying = []
    snapshot_bytes = []
    installing = []
    for size in sizes:
        commands = list(_claim_commands(size))
        memory.append((float(size), _held(_claimed, commands)))
        applying.append((float(size), _timed(_claimed, commands)))
        taken = _claimed(commands).snapshot()
        snapshot_bytes.append((float(size), float(len(taken))))
        fresh = claims.ClaimsMachine()
        installing.append(
            (float(size), _timed(fresh.restore, taken)),
        )
    return [
        fit.fit('claim_memory', 'bytes', memory),
        fit.fit('claim_apply_cpu', 'us', applying, MICRO),
        fit.fit('claim_snapshot_bytes', 'bytes a claim', snapshot_bytes),
        fit.fit('claim_install_cpu', 'us a claim', installing, MICRO),
    ]


def _claim_commands(size: int) -> collections.abc.Iterator[bytes]:
    fence = 0
    for start in range(0, size, BATCH):
        asks = [
            control.claim_request() for _ in range(min(BATCH, size - start))
        ]
        yield _command(
            [messages.ClaimOperation(claim=ask) for ask in asks],
        )
        finishes = []
        for ask in asks:
            fence += 1
            finishes.append(
                messages.ClaimOperation(
                    finish=control.claim_finish(ask, fence),
                ),
            )
        yield _command(finishes)


def _command(operations: list[messages.ClaimOperation]) -> bytes:
    return wire.encode(
        messages.ClaimCommand(
            proposer='control-0/1',
            stamp_ms=1,
            operations=operations,
        ),
    )


def _claimed(commands: list[bytes]) -> claims.ClaimsMachine:
    machine = claims.ClaimsMachine()
    for index, command in enumerate(commands):
        machine.apply(index + 1, command)
    return machine


def _log_records(sizes: tuple[int, ...]) -> fit.Slope:
    points = []
    for size in sizes:
        taken = _held(_log, size)
        points.append((float(size), taken))
    return fit.fit('log_record_memory', 'KiB', points, 1 / KIBI)


def _log(size: int) -> list[messages.LogEntry]:
    return [_record(number) for number in range(size)]


def _record(number: int) -> messages.LogEntry:
    command = _command([messages.ClaimOperation(claim=control.claim_request())])
    entry = messages.LogEntry(index=number, term=3, kind=1, command=command)
    return wire.decode(messages.LogEntry, wire.encode(entry))


def _expert_maps() -> list[fit.Slope]:
    memory = []
    on_wire = []
    for layers in GROUP_LAYERS:
        shape = expert_map.GroupShape(
            layers=layers,
            experts=256,
            ranks=32,
            slots=10,
        )
        memory.append(
            (float(layers), _held(expert_map.cold_start, shape)),
        )
        encoded = expert_map.cold_start(shape).to_json()
        on_wire.append((float(layers), float(len(encoded))))
    return [
        fit.fit('expert_map_memory', 'KiB a layer', memory, 1 / KIBI),
        fit.fit('expert_map_bytes', 'bytes a layer', on_wire),
    ]
