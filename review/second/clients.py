"""Clients as the users' pages describe them."""

from __future__ import annotations

import random
import typing

from review.second import configs, web

DEADLINE_MS = 4000
Headers = typing.Iterable[tuple[str, str]]


def new_id() -> str:
    """Return the id of one client attempt."""
    return f'{random.getrandbits(64):016x}'


def request(
    attempt: str,
    target: str,
    body: bytes = b'',
    headers: Headers = (),
    method: str = 'POST',
    key: str = configs.KEY,
    deadline_ms: int = DEADLINE_MS,
) -> bytes:
    """Write a request with a key and a deadline."""
    head = [
        ('Host', configs.HOST),
        ('Attempt-Id', attempt),
        ('Deadline-Ms', str(deadline_ms)),
        ('Authorization', f'Bearer {key}'),
        *headers,
    ]
    if body:
        head.append(('Content-Length', str(len(body))))
    return web.encode(f'{method} {target} HTTP/1.1', head, body)
