"""Describe this process to its peers and hold the options of its links."""

from __future__ import annotations

import ssl

import attrs

from tamarackthread.generated.messages import ttypes as messages

DEFAULT_HEARTBEAT_SECONDS = 0.5
DEFAULT_TIMEOUT_SECONDS = 2.0
DEFAULT_WINDOW_BYTES = 256 * 1024


@attrs.frozen
class Identity:
    """Say who a process is; ``incarnation`` grows at each of its starts."""

    node: str
    role: messages.Role
    region: str = ''
    zone: str = ''
    address: str = ''
    incarnation: int = 0


@attrs.frozen
class LinkOptions:
    """Hold what every link of a process shares.

    ``keys`` are the shared secrets: the first one signs, any of them is
    accepted, so that a key can be replaced one host at a time.  The window
    is in bytes for each stream and direction.
    """

    identity: Identity
    keys: tuple[bytes, ...]
    heartbeat_seconds: float = DEFAULT_HEARTBEAT_SECONDS
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    window_bytes: int = DEFAULT_WINDOW_BYTES
    dial_tls: ssl.SSLContext | None = None
    listen_tls: ssl.SSLContext | None = None
