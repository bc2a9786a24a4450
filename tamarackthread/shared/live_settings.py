"""Let parts read settings that a reload may replace under them.

A role gets its settings as a ``Section``, which reads like the generated
class and always gives the value in force.  A part that copies a value at its
start keeps that value; the schema marks only what is read anew at each use.
"""

from __future__ import annotations

import collections.abc
import typing

import attrs

from tamarackthread.generated import settings as generated

Watcher = collections.abc.Callable[[], None]


class Source:
    """Hold the settings in force and tell watchers of each reload."""

    def __init__(self, current: generated.Settings) -> None:
        """Start from the settings that the process was started with."""
        self._current = current
        self._watchers: list[Watcher] = []

    @property
    def current(self) -> generated.Settings:
        """Give the settings that are in force."""
        return self._current

    @property
    def settings(self) -> generated.Settings:
        """Give a view on the settings that follows each reload."""
        return typing.cast(generated.Settings, Section(self, ()))

    def watch(self, watcher: Watcher) -> None:
        """Call the watcher after each reload, also when nothing differs."""
        self._watchers.append(watcher)

    def replace(self, fresh: generated.Settings) -> None:
        """Put other settings in force."""
        self._current = fresh
        for watcher in self._watchers:
            watcher()


class Section:
    """Read like one generated class; sections in it are sections again."""

    def __init__(self, source: Source, path: tuple[str, ...]) -> None:
        """View the part of the settings that a path leads to."""
        self._source = source
        self._path = path

    def __getattr__(self, name: str) -> typing.Any:
        """Read a value in force."""
        holder = self.in_force
        value = getattr(holder, name)
        if attrs.has(type(value)):
            return Section(self._source, (*self._path, name))
        if isinstance(value, tuple) and _may_change(type(holder), name):
            return Values(self, name)
        return value

    @property
    def in_force(self) -> typing.Any:
        """Give the generated object that is in force now."""
        holder: typing.Any = self._source.current
        for key in self._path:
            holder = getattr(holder, key)
        return holder

    def watch(self, watcher: Watcher) -> None:
        """Call the watcher after each reload."""
        self._source.watch(watcher)


class Values(collections.abc.Sequence):
    """Read like a tuple in the settings that a reload may replace."""

    def __init__(self, section: Section, name: str) -> None:
        """View the tuple of that name."""
        self._section = section
        self._name = name

    def __getitem__(self, index: typing.Any) -> typing.Any:
        """Give an item in force."""
        return self._in_force()[index]

    def __len__(self) -> int:
        """Count the items in force."""
        return len(self._in_force())

    def watch(self, watcher: Watcher) -> None:
        """Call the watcher after each reload."""
        self._section.watch(watcher)

    def _in_force(self) -> tuple[typing.Any, ...]:
        return getattr(self._section.in_force, self._name)


def watch(part: typing.Any, watcher: Watcher) -> None:
    """Watch a part of live settings; plain settings never change."""
    if isinstance(part, Section | Values):
        part.watch(watcher)


def _may_change(class_: type, name: str) -> bool:
    return bool(attrs.fields_dict(class_)[name].metadata.get('reload'))
