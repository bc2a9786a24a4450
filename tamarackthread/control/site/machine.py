"""Keep the site configuration with the highest version."""

from __future__ import annotations

import collections.abc

from tamarackthread.control import machine
from tamarackthread.shared.site import document

TOOK_EFFECT = b'1'
OVERTAKEN = b'0'

OnChange = collections.abc.Callable[[], None]


class SiteMachine(machine.Machine):
    """Hold one document, replaced only by one with a higher version.

    Operators race each other and send again what they had no answer to.  With
    the version as the only judge, the order in which the log got the changes
    doesn't matter, a second copy changes nothing, and what is in force never
    goes back.
    """

    def __init__(self) -> None:
        """Begin without a configuration."""
        self._held = document.Document()
        self._on_change: list[OnChange] = []

    @property
    def held(self) -> document.Document:
        """Return the document in force, version 0 before the first."""
        return self._held

    def on_change(self, listener: OnChange) -> None:
        """Call ``listener`` after each new document."""
        self._on_change.append(listener)

    def apply(self, index: int, command: bytes) -> bytes:
        """Take a document if its version is the highest yet."""
        asked = document.decode(command)
        if asked.version <= self._held.version:
            return OVERTAKEN
        self._take(asked)
        return TOOK_EFFECT

    def snapshot(self) -> bytes:
        """Return the document in force."""
        if not self._held.version:
            return b''
        return self._held.encode()

    def restore(self, data: bytes) -> None:
        """Take the document of a snapshot."""
        with machine.reading_snapshot():
            self._take(document.decode(data))

    def _take(self, asked: document.Document) -> None:
        self._held = asked
        for listener in self._on_change:
            listener()
