"""Keep what came of the runs of one target."""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import traceback

import attrs

from tamarackthread.shared import errors

MOST_SHOWN = 5


@attrs.define
class Report:
    """Count runs, coded refusals and faults of one target."""

    target: str
    runs: int = 0
    accepted: int = 0
    refused: collections.Counter[str] = attrs.field(factory=collections.Counter)
    faults: collections.Counter[str] = attrs.field(factory=collections.Counter)
    shown: dict[str, str] = attrs.field(factory=dict)

    @contextlib.contextmanager
    def run(self, seed: object) -> collections.abc.Iterator[None]:
        """Count one run; only a coded error may come out of it."""
        self.runs += 1
        try:
            yield
        except errors.CodedError as exc:
            self.refused[exc.code] += 1
        except Exception as exc:
            self.fault(seed, exc)
        else:
            self.accepted += 1

    def fault(self, seed: object, exc: BaseException) -> None:
        """Count a fault under its type and the place that raised it."""
        frames = traceback.extract_tb(exc.__traceback__)
        last = frames[-1] if frames else None
        place = f'{last.name}:{last.lineno}' if last else 'unknown'
        name = f'{type(exc).__name__} in {place}'
        self.faults[name] += 1
        if name not in self.shown:
            text = ''.join(traceback.format_exception(exc)[-MOST_SHOWN:])
            self.shown[name] = f'{self.target}, seed {seed}\n{text}'
