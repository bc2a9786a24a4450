"""Fuzz what reads one piece of bytes: messages, documents, settings, words."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import tempfile
import types

from bench.fuzzing import mutations, report, samples
from tamarackthread.control import claims, configuration
from tamarackthread.control import state_machine as machines
from tamarackthread.control.site import target_registry
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.platform import http_api
from tamarackthread.shared import (
    documents,
    events,
    settings,
    settings_checks,
    wire,
)
from tamarackthread.shared.site import announcements

_COMMANDS_EACH = 20
_SETTINGS = """{
  // An entry with everything set.
  "role": "entry",
  "node": {"id": "entry-1", "region": "east", "zone": "a"},
  "listen": {"host": "127.0.0.1", "port": 7000},
  "control_addresses": ["127.0.0.1:7100", "127.0.0.1:7101"],
  "security": {"key_files": ["cluster.key"]},
  "link": {"heartbeat_seconds": 0.5, "timeout_seconds": 2.0},
  "logs": {"level": "info", "json": true}, /* metrics */
  "statsd": {"host": "127.0.0.1", "port": 8125, "prefix": "tt"},
  "entry": {"health_grace_seconds": 5.0},
}
"""
_ANNOUNCED = types.MappingProxyType(
    {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'cold-remaining-ms': 0,
        'sequence': 4,
        'born': 1_780_000_000_000,
    }
)
_STRANGE = (
    *(None, True, '7', '', [], {}, [[]], -1, 0.5, 1e400, float('nan')),
    *(10**30, -(10**30), 1 << 31, 1 << 63, 'x' * 300, {'a': {'b': 1}}),
    *('model-\ud83d', 'a\x00b', 'a\r\nb', ' a'),
)
_EVENT_PARTS = (
    *(b'data: x', b'id: 7', b': comment', b'data: [DONE]'),
    *(b'\n', b'\n\n', b'\r\n', b'\r', b'\r\r'),
)
_BODY = '{"routing": {}, "configuration": {"lapse": "refuse"}, "retries": {}}'


class FindingWithoutPlace(Exception):
    """A finding has no place, code or text."""


class CutsDiffer(Exception):
    """Events depend on how their bytes came in pieces."""


class CheckedBodyUnreadable(Exception):
    """A body without findings can't be parsed."""


def fuzz_messages(seed: int, runs: int) -> report.Report:
    """Decode mutated messages; what is accepted must encode again."""
    counted = report.Report('messages')
    kinds = samples.kinds()
    for number in range(runs):
        rng = random.Random(f'messages {seed} {number}')
        kind = rng.choice(kinds)
        payload = wire.encode(samples.message(rng, kind))
        mutated = mutations.some(rng, payload)
        with counted.run(number):
            wire.encode(wire.decode(kind, mutated))
    return counted


def fuzz_headers(seed: int, runs: int) -> report.Report:
    """Read mutated frame headers."""
    counted = report.Report('headers')
    for number in range(runs):
        rng = random.Random(f'headers {seed} {number}')
        kind = rng.choice(list(wire.Kind))
        header = wire.pack(kind, b'', rng.getrandbits(32))
        mutated = mutations.some(rng, header).ljust(wire.HEADER_BYTES, b'\xff')
        with counted.run(number):
            wire.unpack_header(mutated[: wire.HEADER_BYTES])
    return counted


def fuzz_settings(seed: int, runs: int) -> report.Report:
    """Load mutated settings files."""
    counted = report.Report('settings')
    with tempfile.TemporaryDirectory() as scratch:
        path = pathlib.Path(scratch) / 'settings.json'
        for number in range(runs):
            rng = random.Random(f'settings {seed} {number}')
            path.write_bytes(mutations.some(rng, _SETTINGS.encode()))
            with counted.run(number):
                _need_places(settings_checks.check(path))
                settings.load(path)
    return counted


def fuzz_documents(seed: int, runs: int) -> report.Report:
    """Check and parse mutated bodies of documents."""
    counted = report.Report('documents')
    for number in range(runs):
        rng = random.Random(f'documents {seed} {number}')
        body = mutations.some(rng, _BODY.encode())
        text = body.decode(errors='replace')
        kind = rng.choice((*documents.KINDS, 'unknown'))
        with counted.run(number):
            _check_document(kind, text)
    return counted


def fuzz_machines(seed: int, runs: int) -> report.Report:
    """Apply mutated commands; an exception would halt every member.

    The state after them must also survive a snapshot.
    """
    counted = report.Report('machines')
    for number in range(runs // _COMMANDS_EACH):
        rng = random.Random(f'machines {seed} {number}')
        with counted.run(number):
            if rng.random() < 0.5:
                held = configuration.Configuration()
                _apply_some(rng, held, messages.ConfigCommand)
                configuration.Configuration().restore(held.snapshot())
            else:
                claimed = claims.ClaimsMachine()
                _apply_some(rng, claimed, messages.ClaimCommand)
                claims.ClaimsMachine().restore(claimed.snapshot())
    return counted


def fuzz_restores(seed: int, runs: int) -> report.Report:
    """Restore machines from mutated snapshots."""
    counted = report.Report('restores')
    for number in range(runs):
        rng = random.Random(f'restores {seed} {number}')
        state = samples.message(rng, messages.ConfigSnapshot)
        claimed = samples.message(rng, messages.ClaimSnapshot)
        with counted.run(number):
            configuration.Configuration().restore(
                mutations.some(rng, wire.encode(state))
            )
            claims.ClaimsMachine().restore(
                mutations.some(rng, wire.encode(claimed))
            )
    return counted


def fuzz_announcements(seed: int, runs: int) -> report.Report:
    """Take mutated announcements; what is taken must reach the followers."""
    counted = report.Report('announcements')
    with asyncio.Runner() as runner:
        for number in range(runs):
            rng = random.Random(f'announcements {seed} {number}')
            body = _announcement_of(rng)
            with counted.run(number):
                runner.run(_take_announcement(body))
    return counted


def fuzz_events(seed: int, runs: int) -> report.Report:
    """Cut event streams; pieces must not change what comes out."""
    counted = report.Report('events')
    for number in range(runs):
        rng = random.Random(f'events {seed} {number}')
        parts = [rng.choice(_EVENT_PARTS) for _ in range(rng.randint(1, 30))]
        sent = mutations.some(rng, b''.join(parts))
        with counted.run(number):
            _compare_cuts(rng, sent)
    return counted


def _announcement_of(rng: random.Random) -> bytes:
    """Make a body of which fields are missing, strange or damaged."""
    row = dict(_ANNOUNCED)
    for name in _ANNOUNCED:
        change = rng.random()
        if change < 0.2:
            row.pop(name)
        elif change < 0.4:
            row[name] = rng.choice(_STRANGE)
    body = json.dumps(row).encode()
    return mutations.some(rng, body) if rng.random() < 0.3 else body


async def _take_announcement(body: bytes) -> None:
    held = target_registry.TargetRegistry(1.0)
    with held.validating('fuzzer'):
        held.record(http_api.read_announcement('t', body))
    for said in held.changed_since(0):
        wire.encode(announcements.to_message(said))


def _need_places(found: list) -> None:
    for finding in found:
        if not (finding.place and finding.code and finding.text):
            raise FindingWithoutPlace(str(finding))


def _check_document(kind: str, body: str) -> None:
    found = documents.check(kind, 'name', body)
    _need_places(found)
    if found or not body:
        documents.parse(kind, body)
        return
    try:
        documents.parse(kind, body)
    except Exception as exc:
        raise CheckedBodyUnreadable(body) from exc


def _apply_some(
    rng: random.Random, held: machines.StateMachine, kind: type
) -> None:
    for index in range(1, _COMMANDS_EACH + 1):
        command = wire.encode(samples.message(rng, kind))
        if rng.random() < 0.5:
            command = mutations.some(rng, command)
        held.apply(index, command)


def _compare_cuts(rng: random.Random, sent: bytes) -> None:
    whole = events.EventSplitter()
    expected = events.join(whole.feed(sent))
    splitter = events.EventSplitter()
    pieces = bytearray()
    start = 0
    while start < len(sent):
        end = start + rng.randint(1, 9)
        pieces += events.join(splitter.feed(sent[start:end]))
        start = end
    if (bytes(pieces), splitter.count) != (expected, whole.count):
        raise CutsDiffer(repr(sent))
    if expected + whole.rest != sent:
        raise CutsDiffer(f'bytes are missing of {sent!r}')
