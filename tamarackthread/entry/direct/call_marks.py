"""Identify what calls have in common, to blame it for crashes of targets."""

from __future__ import annotations

import hashlib

from tamarackthread.entry.direct import calls
from tamarackthread.policy import crash_records

FINGERPRINT_BYTES = 16
_CALL = b'call:'
_PART = b'part:'
# Longer ids of parts are hashed.
MAX_ID_BYTES = 32


def of(call: calls.Call) -> list[bytes]:
    """List the marks of a call, those that fewer calls share last."""
    return [*of_parts(call), _CALL + fingerprint(call)]


def of_parts(call: calls.Call) -> list[bytes]:
    """List the marks of the prompt's parts, which other prompts may contain."""
    parts = dict.fromkeys(call.request.shared_parts)
    return [_part_mark(_encode(part.lower())) for part in parts]


def suspects(
    call: calls.Call, reach: crash_records.Reach
) -> tuple[crash_records.Suspect, ...]:
    """Make suspects of the marks of a call whose answer got so far."""
    marks = of(call)
    depths = [*range(len(marks) - 1), crash_records.CALL_DEPTH]
    return tuple(
        crash_records.Suspect(mark, depth, reach)
        for mark, depth in zip(marks, depths, strict=True)
    )


def describe(mark: bytes) -> str:
    """Return a mark as text for logs."""
    if mark.startswith(_PART):
        part = mark.removeprefix(_PART).decode(errors='backslashreplace')
        return f'part {part}'
    return f'call {mark.removeprefix(_CALL).hex()}'


def fingerprint(call: calls.Call) -> bytes:
    """Return a hash that is equal for repetitions of a call."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    fields = (call.request.method, call.request.host, call.request.path)
    for part in (*fields, call.organisation):
        digest.update(_encode(part))
        digest.update(b'\0')
    digest.update(call.body)
    return digest.digest()


def _encode(text: str) -> bytes:
    # Heads of requests may contain bytes that are no text.
    return text.encode(errors='surrogateescape')


def _part_mark(part: bytes) -> bytes:
    if len(part) > MAX_ID_BYTES:
        digest = hashlib.blake2b(part, digest_size=FINGERPRINT_BYTES)
        part = digest.hexdigest().encode()
    return _PART + part
