"""Index the configuration by organisation, service, target and entry."""

from __future__ import annotations

import collections.abc
import hashlib
import logging
import typing

import attrs

from tamarackthread.entry import failures
from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import catalogue, claim_keys, documents

_log = logging.getLogger('tamarackthread.entry')


@attrs.frozen
class Caller:
    """The organisation that a credential belongs to."""

    organisation: str
    details: generated.Organisation


class Directory:
    """Index documents for lookups by calls; an entry is a process that accepts
    calls, and a profile the settings that services share.
    """

    def __init__(self) -> None:
        """Start without documents."""
        self._credentials: dict[str, str] = {}
        self._organisations: dict[str, generated.Organisation] = {}
        self._services: dict[str, generated.Service] = {}
        self._profiles: dict[str, generated.Profile] = {}
        self._targets: dict[str, generated.Target] = {}
        self._entries: dict[str, generated.Entry] = {}
        self._shards: dict[str, generated.Shard] = {}
        self._revision = 0

    @property
    def services(self) -> collections.abc.Mapping[str, generated.Service]:
        """Return the services by name."""
        return self._services

    @property
    def organisations(
        self,
    ) -> collections.abc.Mapping[str, generated.Organisation]:
        """Return the organisations by name."""
        return self._organisations

    @property
    def targets(self) -> collections.abc.Mapping[str, generated.Target]:
        """Return the targets by name."""
        return self._targets

    @property
    def entries(self) -> collections.abc.Mapping[str, generated.Entry]:
        """Return the entries by node."""
        return self._entries

    def update(self, source: catalogue.Catalogue) -> None:
        """Apply the catalogue's changes since the last update."""
        while True:
            page = source.after(self._revision)
            if page.snapshot:
                self.clear()
            self.apply(page.documents)
            self._revision = page.revision
            if not page.more:
                return

    def apply(self, changed: typing.Iterable[messages.Document]) -> None:
        """Apply documents; an empty body is a deletion."""
        for document in changed:
            table = self._tables().get(document.kind)
            if table is not None:
                self._replace(table, document)

    def clear(self) -> None:
        """Remove all documents before a snapshot is applied."""
        self._credentials.clear()
        for table in self._tables().values():
            table.clear()

    def profile(self, service: str) -> generated.Profile:
        """Return the profile of a service, or the defaults without one."""
        details = self._services[service]
        profile = self._profiles.get(details.profile)
        return profile or generated.Profile()

    def shards(self, members: tuple[str, ...]) -> tuple[claim_keys.Shard, ...]:
        """Return the claim shards.  All get the same ``members``, the addresses
        of the control hosts, as any of them can find a shard's leader.
        """
        return tuple(
            claim_keys.Shard(details.group, details.region, members)
            for details in self._shards.values()
        )

    def caller(self, authorization: str) -> Caller:
        """Return the organisation of an ``Authorization`` header."""
        scheme, _, token = authorization.partition(' ')
        if scheme.lower() != 'bearer' or not token:
            raise failures.CredentialUnknown
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        name = self._credentials.get(digest)
        if name is None:
            raise failures.CredentialUnknown
        return Caller(name, self._organisations[name])

    def service(self, host: str, path: str, model: str) -> str:
        """Return the service for a call; the longest path prefix wins."""
        best = ''
        best_length = -1
        for name, details in self._services.items():
            if not _matches(details, host, model):
                continue
            length = _matched_length(details, path)
            if length > best_length:
                best, best_length = name, length
        if best_length < 0:
            raise failures.ServiceUnknown(f'{path} {model}'.strip())
        return best

    def _tables(self) -> dict[str, dict[str, typing.Any]]:
        return {
            'organisation': self._organisations,
            'service': self._services,
            'profile': self._profiles,
            'target': self._targets,
            'entry': self._entries,
            'shard': self._shards,
        }

    def _replace(
        self,
        table: dict[str, typing.Any],
        document: messages.Document,
    ) -> None:
        is_organisation = document.kind == 'organisation'
        old = table.pop(document.name, None)
        if is_organisation and old is not None:
            self._remove_credentials(document.name)
        if not document.body:
            return
        table[document.name] = documents.parse(document.kind, document.body)
        if is_organisation:
            self._add_credentials(document.name)

    def _add_credentials(self, name: str) -> None:
        for credential in self._organisations[name].credentials:
            self._credentials[credential.sha256] = name

    def _remove_credentials(self, name: str) -> None:
        digests = [
            digest
            for digest, owner in self._credentials.items()
            if owner == name
        ]
        for digest in digests:
            self._credentials.pop(digest)


def _matches(details: generated.Service, host: str, model: str) -> bool:
    if details.hosts and host not in details.hosts:
        return False
    return not details.models or model in details.models


def _matched_length(details: generated.Service, path: str) -> int:
    if not details.paths:
        return 0
    matching = [
        len(prefix) for prefix in details.paths if path.startswith(prefix)
    ]
    return max(matching, default=-1)
