"""Lock the data folder for this process."""

from __future__ import annotations

import fcntl
import os
import pathlib

from tamarackthread.shared import errors

LOCK_FILE = 'lock'


class DataFolderBusy(errors.CodedError):
    """Data folder is in use by another process."""

    code = 'TT3504'


class DataFolder:
    """Hold an exclusive lock on a folder until ``close`` or process exit.

    Two processes on one folder would corrupt each other's log.
    """

    def __init__(self, path: str) -> None:
        """Create and lock the folder; raises ``DataFolderBusy``."""
        self._path = pathlib.Path(path)
        self._path.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self._path / LOCK_FILE, os.O_CREAT | os.O_RDWR)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(self._lock)
            raise DataFolderBusy(path) from exc

    def group_path(self, name: str) -> pathlib.Path:
        """Return the folder of a replicated group."""
        return self._path / name

    def close(self) -> None:
        """Release the lock."""
        os.close(self._lock)
