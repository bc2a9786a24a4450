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
    """Identity of a process; ``incarnation`` grows at each start."""

    node: str
    role: messages.Role
    region: str = ''
    zone: str = ''
    address: str = ''
    incarnation: int = 0


@attrs.frozen
class LinkOptions:
    """Options of all links; the window is in bytes for each stream direction.
    The first of ``keys`` signs and any is accepted, to allow key rotation.
    """

    identity: Identity
    keys: tuple[bytes, ...]
    heartbeat_seconds: float = DEFAULT_HEARTBEAT_SECONDS
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    window_bytes: int = DEFAULT_WINDOW_BYTES
    dial_tls: ssl.SSLContext | None = None
    listen_tls: ssl.SSLContext | None = None
