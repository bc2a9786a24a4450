"""Reload settings at run time.  An invalid file changes nothing; changes that
the schema doesn't mark as reloadable are reported to need a restart.
"""

from __future__ import annotations

import asyncio
import logging
import pathlib
import signal
import typing

import attrs

from tamarackthread.generated import settings as generated
from tamarackthread.shared import findings, live_settings, security, settings

_log = logging.getLogger('tamarackthread.settings')


@attrs.frozen
class MergeResult:
    """Settings after a reload, with the names of those that changed and of
    those whose change needs a restart, such as ``logs.level``.
    """

    settings: generated.Settings
    changed: tuple[str, ...]
    pending_restart: tuple[str, ...]


class Reloader:
    """Reload the settings file on SIGHUP.  Watchers are called even if no
    setting differs, since key files and certificates may have changed.
    """

    def __init__(
        self,
        path: str,
        source: live_settings.Source,
        base: pathlib.Path | None = None,
    ) -> None:
        """Reload ``path`` into ``source``; relative paths in it start at
        ``base``, by default the folder of the file.
        """
        self._path = path
        self._base = base
        self._source = source

    def watch(self) -> None:
        """Reload at each SIGHUP; requires a running event loop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    def reload(self) -> bool:
        """Apply the file; return whether it was valid."""
        try:
            merged = self._read()
        except findings.InvalidError as exc:
            for finding in exc.findings:
                _log.error('settings: kept the old ones, %s', finding)
            return False
        for name in merged.pending_restart:
            _log.warning(
                'settings: %s %s needs a restart',
                findings.RestartNeeded.code,
                name,
            )
        self._source.replace(merged.settings)
        changed = ', '.join(merged.changed) or 'nothing'
        _log.info('settings: reloaded with secrets, changed %s', changed)
        return True

    def _read(self) -> MergeResult:
        merged = merge(
            self._source.current, settings.load(self._path, self._base)
        )
        # Validates key files and certificates before anything is applied.
        security_settings = merged.settings.security
        security.read_keys(security_settings.key_files)
        if security_settings.tls is not None:
            security.make_contexts(security_settings.tls)
        return merged


def merge(old: generated.Settings, new: generated.Settings) -> MergeResult:
    """Merge the reloadable settings of ``new`` into ``old``."""
    merger = _Merger()
    return MergeResult(
        settings=merger.merge(old, new, ''),
        changed=tuple(merger.changed),
        pending_restart=tuple(merger.pending_restart),
    )


class _Merger:
    """Merge two settings recursively and record the names that differ."""

    def __init__(self) -> None:
        self.changed: list[str] = []
        self.pending_restart: list[str] = []

    def merge(
        self, old: typing.Any, new: typing.Any, prefix: str
    ) -> typing.Any:
        taken = {}
        for field in attrs.fields(type(old)):
            before = getattr(old, field.name)
            after = getattr(new, field.name)
            if before == after:
                continue
            name = f'{prefix}{field.name}'
            if attrs.has(type(before)) and attrs.has(type(after)):
                taken[field.name] = self.merge(before, after, f'{name}.')
                continue
            if self._may_change(field, name):
                taken[field.name] = after
        return attrs.evolve(old, **taken)

    def _may_change(self, field: attrs.Attribute, name: str) -> bool:
        if field.metadata.get('reload'):
            self.changed.append(name)
            return True
        self.pending_restart.append(name)
        return False
