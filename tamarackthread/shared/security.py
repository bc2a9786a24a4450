"""Read shared secrets and TLS certificates; they are refreshed in place, and
open links keep those they were established with.
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
    """TLS contexts for dialled and for accepted links."""

    dial: ssl.SSLContext
    listen: ssl.SSLContext


class Keyring(collections.abc.Sequence):
    """Sequence of shared secrets: the first signs, any is accepted.  With live
    settings it is reread at each reload; open links are not affected.
    """

    def __init__(self, files: collections.abc.Sequence[str]) -> None:
        """Read the files; raise ``InvalidError`` naming each invalid one."""
        self._files = files
        self._keys = _read(files)
        live_settings.watch(files, self.refresh)

    def __getitem__(self, index: typing.Any) -> typing.Any:
        """Return a current secret."""
        return self._keys[index]

    def __len__(self) -> int:
        """Return the number of current secrets."""
        return len(self._keys)

    def refresh(self) -> None:
        """Reread the files; keep the old secrets on ``InvalidError``."""
        self._keys = _read(self._files)


def read_keys(files: collections.abc.Sequence[str]) -> Keyring:
    """Read shared secrets, stripped of white space; raise ``InvalidError``
    naming each invalid file.
    """
    return Keyring(files)


def _read(files: collections.abc.Iterable[str]) -> tuple[bytes, ...]:
    keys = []
    problems = []
    for name in files:
        try:
            key = pathlib.Path(name).read_bytes().strip()
        except OSError as exc:
            problems.append(_secret_finding(name, exc.strerror or 'unreadable'))
            continue
        if len(key) < MIN_KEY_BYTES:
            problems.append(
                _secret_finding(name, f'under {MIN_KEY_BYTES} bytes')
            )
        keys.append(key)
    if problems:
        raise findings.InvalidError(problems)
    return tuple(keys)


def make_contexts(tls: generated.Tls) -> Contexts:
    """Make contexts for mutual TLS; with live settings they reload their
    certificates at each reload.
    """
    dial = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Peers are dialled by IP address, so there is no host name to check; the
    # authority signs certificates of this system's nodes only.
    dial.check_hostname = False
    listen = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    listen.verify_mode = ssl.CERT_REQUIRED
    contexts = Contexts(dial=dial, listen=listen)
    refresh(contexts, tls)
    live_settings.watch(tls, functools.partial(refresh, contexts, tls))
    return contexts


def refresh(contexts: Contexts, tls: generated.Tls) -> None:
    """Reload certificates; keep the old ones on ``InvalidError``."""
    scratch = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    for context in (scratch, contexts.dial, contexts.listen):
        try:
            context.load_cert_chain(tls.certificate_file, tls.key_file)
        except OSError as exc:
            problem = _secret_finding(tls.certificate_file, str(exc))
            raise findings.InvalidError([problem]) from exc
        try:
            context.load_verify_locations(tls.authority_file)
        except OSError as exc:
            problem = _secret_finding(tls.authority_file, str(exc))
            raise findings.InvalidError([problem]) from exc


def _secret_finding(name: str, text: str) -> findings.Finding:
    return findings.Finding(
        f'{name}:1:1',
        findings.SecretInvalid.code,
        text,
    )
