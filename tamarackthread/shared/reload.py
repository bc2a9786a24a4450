"""Take over changed settings while a process runs.

The schema marks what may change at run time.  A file with findings leaves
all settings as they were; of a sound file the marked part comes into force
and the rest is named as waiting for a restart.
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
class Merged:
    """The settings in force after a reload.

    ``changed`` and ``waiting`` hold the names of settings, such as
    ``logs.level``; those in ``waiting`` need a restart.
    """

    settings: generated.Settings
    changed: tuple[str, ...]
    waiting: tuple[str, ...]


class Reloader:
    """Read the settings file again on SIGHUP.

    Watchers are told at each sound reload, also when no setting differs,
    because the files that the settings name may have new contents.
    """

    def __init__(
        self,
        path: str,
        source: live_settings.Source,
        base: pathlib.Path | None = None,
    ) -> None:
        """Reload a file into the source of the settings in force.

        ``base`` is where relative paths in it are taken from, by default the
        file's own folder.
        """
        self._path = path
        self._base = base
        self._source = source

    def watch(self) -> None:
        """Reload at each SIGHUP; call it from inside the running loop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    def reload(self) -> bool:
        """Take over the file; return whether it was sound."""
        try:
            merged = self._read()
        except findings.InvalidError as exc:
            for found in exc.findings:
                _log.error('settings: kept the old ones, %s', found)
            return False
        for name in merged.waiting:
            _log.warning(
                'settings: %s %s waits for a restart',
                findings.RestartNeeded.code,
                name,
            )
        self._source.replace(merged.settings)
        changed = ', '.join(merged.changed) or 'nothing'
        _log.info('settings: reloaded with secrets, changed %s', changed)
        return True

    def _read(self) -> Merged:
        merged = merge(
            self._source.current, settings.load(self._path, self._base)
        )
        # A key file or certificate that can't be used is found here, before
        # half of the change is taken over.
        secrets = merged.settings.security
        security.read_keys(secrets.key_files)
        if secrets.tls is not None:
            security.make_contexts(secrets.tls)
        return merged


def merge(old: generated.Settings, new: generated.Settings) -> Merged:
    """Take what may change at run time from the new settings."""
    merger = _Merger()
    return Merged(
        settings=merger.merge(old, new, ''),
        changed=tuple(merger.changed),
        waiting=tuple(merger.waiting),
    )


class _Merger:
    """Walk two settings side by side, keeping the names of differences."""

    def __init__(self) -> None:
        self.changed: list[str] = []
        self.waiting: list[str] = []

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
        self.waiting.append(name)
        return False
