"""Record what a target really started, for the checkers of histories."""

from __future__ import annotations

import json
import pathlib
import time
import typing


class Journal:
    """Append one JSON line for each event, unbuffered.

    The line is handed to the kernel before the work goes on, so that it
    survives a kill of the emulator.
    """

    def __init__(self, path: pathlib.Path | None) -> None:
        """Open the file for appending, or record nothing without a path."""
        self._file: typing.BinaryIO | None = None
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._file = path.open('ab', buffering=0)

    def record(self, event: str, **details: typing.Any) -> None:
        """Write one event with its details and the host's monotonic time."""
        if self._file is None:
            return
        at = time.monotonic()
        line = json.dumps({'event': event, 'at': at, **details})
        self._file.write(f'{line}\n'.encode())
