"""Provide live views of settings: they read like the generated classes and
always return the current value, also after a reload.
"""

from __future__ import annotations

import collections.abc
import typing

import attrs

from tamarackthread.generated import settings as generated

Watcher = collections.abc.Callable[[], None]


class Source:
    """Hold the current settings and call watchers after each reload."""

    def __init__(self, current: generated.Settings) -> None:
        """Hold the settings that the process was started with."""
        self._current = current
        self._watchers: list[Watcher] = []

    @property
    def current(self) -> generated.Settings:
        """Return the current settings."""
        return self._current

    @property
    def settings(self) -> generated.Settings:
        """Return a view of the settings that follows each reload."""
        return typing.cast(generated.Settings, SettingsView(self, ()))

    def watch(self, watcher: Watcher) -> None:
        """Call the watcher after each reload, even if nothing differs."""
        self._watchers.append(watcher)

    def replace(self, replacement: generated.Settings) -> None:
        """Replace the settings and call the watchers."""
        self._current = replacement
        for watcher in self._watchers:
            watcher()


class SettingsView:
    """Live view of a generated class; nested sections are views too."""

    def __init__(self, source: Source, path: tuple[str, ...]) -> None:
        """View the section at a path of attribute names."""
        self._source = source
        self._path = path

    def __getattr__(self, name: str) -> typing.Any:
        """Return the current value."""
        section = self.in_force
        value = getattr(section, name)
        if attrs.has(type(value)):
            return SettingsView(self._source, (*self._path, name))
        if isinstance(value, tuple) and _is_reloadable(type(section), name):
            return TupleView(self, name)
        return value

    @property
    def in_force(self) -> typing.Any:
        """Return the current generated object."""
        section: typing.Any = self._source.current
        for key in self._path:
            section = getattr(section, key)
        return section

    def watch(self, watcher: Watcher) -> None:
        """Call the watcher after each reload."""
        self._source.watch(watcher)


class TupleView(collections.abc.Sequence):
    """Live view of a tuple in the settings."""

    def __init__(self, section: SettingsView, name: str) -> None:
        """View the tuple with this name in a section."""
        self._section = section
        self._name = name

    def __getitem__(self, index: typing.Any) -> typing.Any:
        """Return a current item."""
        return self._in_force()[index]

    def __len__(self) -> int:
        """Return the current number of items."""
        return len(self._in_force())

    def watch(self, watcher: Watcher) -> None:
        """Call the watcher after each reload."""
        self._section.watch(watcher)

    def _in_force(self) -> tuple[typing.Any, ...]:
        return getattr(self._section.in_force, self._name)


def watch(view: typing.Any, watcher: Watcher) -> None:
    """Watch a live view; does nothing for plain settings."""
    if isinstance(view, SettingsView | TupleView):
        view.watch(watcher)


def _is_reloadable(class_: type, name: str) -> bool:
    return bool(attrs.fields_dict(class_)[name].metadata.get('reload'))
