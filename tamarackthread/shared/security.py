"""Read the secrets and certificates that the settings name.

A context is refreshed in place, so links that are open keep their keys and
each new one is made with the new certificate.
"""

from __future__ import annotations

import collections.abc
import functools
import pathlib
import ssl
import typing

import attrs

from tamarackthread.generated import settings as generated
from tamarackthread.shared import findings, live_settings

MIN_KEY_BYTES = 16


@attrs.frozen
class Contexts:
    """The two sides of encrypted links."""

    dial: ssl.SSLContext
    listen: ssl.SSLContext


class Keyring(collections.abc.Sequence):
    """Hold the shared secrets in force: the first signs, any is accepted.

    With live settings the files are read again at each reload.  Links that
    are open go on, because a secret is used in the greeting only.
    """

    def __init__(self, files: collections.abc.Sequence[str]) -> None:
        """Read the files; raise ``InvalidError`` naming each bad one."""
        self._files = files
        self._keys = _read(files)
        live_settings.watch(files, self.refresh)

    def __getitem__(self, index: typing.Any) -> typing.Any:
        """Give a secret in force."""
        return self._keys[index]

    def __len__(self) -> int:
        """Count the secrets in force."""
        return len(self._keys)

    def refresh(self) -> None:
        """Read the files again; on ``InvalidError`` the old secrets stay."""
        self._keys = _read(self._files)


def read_keys(files: collections.abc.Sequence[str]) -> Keyring:
    """Read shared secrets; raise ``InvalidError`` naming each bad file.

    White space at both ends is not part of a secret, because editors add a
    line end.
    """
    return Keyring(files)


def _read(files: collections.abc.Iterable[str]) -> tuple[bytes, ...]:
    keys = []
    found = []
    for name in files:
        try:
            key = pathlib.Path(name).read_bytes().strip()
        except OSError as exc:
            found.append(_finding(name, exc.strerror or 'unreadable'))
            continue
        if len(key) < MIN_KEY_BYTES:
            found.append(_finding(name, f'under {MIN_KEY_BYTES} bytes'))
        keys.append(key)
    if found:
        raise findings.InvalidError(found)
    return tuple(keys)


def make_contexts(tls: generated.Tls) -> Contexts:
    """Make contexts that ask the other side for a certificate too.

    With live settings the certificates are read again at each reload.
    """
    dial = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Peers are reached by IP number and name themselves in their greeting;
    # the authority, which signs this system's nodes only, is what counts.
    dial.check_hostname = False
    listen = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    listen.verify_mode = ssl.CERT_REQUIRED
    contexts = Contexts(dial=dial, listen=listen)
    refresh(contexts, tls)
    live_settings.watch(tls, functools.partial(refresh, contexts, tls))
    return contexts


def refresh(contexts: Contexts, tls: generated.Tls) -> None:
    """Load certificates again; on ``InvalidError`` the old ones stay."""
    probe = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    for context in (probe, contexts.dial, contexts.listen):
        try:
            context.load_cert_chain(tls.certificate_file, tls.key_file)
        except OSError as exc:
            found = _finding(tls.certificate_file, str(exc))
            raise findings.InvalidError([found]) from exc
        try:
            context.load_verify_locations(tls.authority_file)
        except OSError as exc:
            found = _finding(tls.authority_file, str(exc))
            raise findings.InvalidError([found]) from exc


def _finding(name: str, text: str) -> findings.Finding:
    return findings.Finding(
        f'{name}:1:1',
        findings.SecretInvalid.code,
        text,
    )
