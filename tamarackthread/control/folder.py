"""Hold the data folder for this process alone."""

from __future__ import annotations

import fcntl
import os
import pathlib

from tamarackthread.shared import errors

LOCK_NAME = 'lock'


class DataFolderBusy(errors.CodedError):
    """Data folder is in use by another process."""

    code = 'TT3504'


class DataFolder:
    """Lock a folder until ``close``; the kernel frees it at a crash.

    Two processes on one folder would both append to the same log, and what
    each had synced would no longer be what it reads back.
    """

    def __init__(self, path: str) -> None:
        """Create the folder if needed; raise ``DataFolderBusy`` if held."""
        self._path = pathlib.Path(path)
        self._path.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self._path / LOCK_NAME, os.O_CREAT | os.O_RDWR)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(self._lock)
            raise DataFolderBusy(path) from exc

    def group_path(self, name: str) -> pathlib.Path:
        """Give the folder of a replicated group."""
        return self._path / name

    def close(self) -> None:
        """Let another process use the folder."""
        os.close(self._lock)
