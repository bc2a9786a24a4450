"""Record which calls ran on targets that crashed, to be shared by all entries."""

from __future__ import annotations

import collections
import collections.abc
import enum
import math
import types

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors

# Time to live of a crash that no call is refused for any more.
HISTORY_TTL_SECONDS = 240.0
# An answer shortly before a crash tells as much as one after it.
CLEARING_SECONDS = 10.0
# Shorter, so that where any call was answered so shortly before a crash, calls
# of each common kind were too.
SERVICE_CLEARING_SECONDS = 5.0
# A refusal keeps its evidence; the others are told of it this often.
REFRESH_SECONDS = 30.0
MAX_CRASHES = 128
# Suspects of one crash; a target runs fewer calls than this has room for.
MAX_SUSPECTS = 256
# Recent answers kept, by service and mark.
MAX_ANSWERS = 2048
MILLISECONDS = 1000


class Reach(enum.IntEnum):
    """How far the answer to a call got."""

    # Nothing of the answer's content came, though its head may have come.
    NOTHING = 0
    BEGUN = 1
    WHOLE = 2


# Depth of a mark that only repetitions of one call have.
CALL_DEPTH = 1 << 20
# Suspects of each crash, shared by all calls of the service: cleared once any
# call there is answered in part, or in whole.
ANY_BEGUN = b'any:begun'
ANY_WHOLE = b'any:whole'
ANY_REACHES = types.MappingProxyType(
    {ANY_BEGUN: Reach.NOTHING, ANY_WHOLE: Reach.BEGUN}
)


@attrs.frozen
class Suspect:
    """What may have caused a crash: a call, or something that calls share."""

    mark: bytes
    # Place among the marks of a call; fewer calls share a deeper one.
    depth: int = 0
    # Of the answers that ended with the crash, how far the longest got.
    reach: Reach = Reach.NOTHING
    # Whether an answer on the same mark got further at another target.
    is_cleared: bool = False

    @property
    def is_shared(self) -> bool:
        """Tell whether calls that aren't repetitions may have the mark."""
        return self.depth < CALL_DEPTH

    def merged(self, other: Suspect) -> Suspect:
        """Merge what two entries know of the same suspect."""
        return Suspect(
            self.mark,
            max(self.depth, other.depth),
            max(self.reach, other.reach),
            self.is_cleared or other.is_cleared,
        )


@attrs.frozen(kw_only=True)
class Crash:
    """The crash of one target instance, with what may have caused it."""

    start: str
    service: str = ''
    # The first entry that has seen it.
    witness: str = ''
    # Seconds since the crash, and since a call was last refused for it.
    lost: float = 0
    used: float = math.inf
    suspects: tuple[Suspect, ...] = ()

    def is_cleared(self, mark: bytes) -> bool:
        """Tell whether a suspect of this crash was cleared by an answer."""
        return any(
            suspect.is_cleared
            for suspect in self.suspects
            if suspect.mark == mark
        )


@attrs.define(eq=False)
class _Record:
    """A crash; times are the loop's."""

    service: str
    witness: str
    lost_at: float
    used_at: float
    shared_use_at: float
    suspects: dict[bytes, Suspect] = attrs.field(factory=dict)
    serial: int = 0


@attrs.define(eq=False)
class _Answers:
    """When answers on a mark last got as far as each reach."""

    begun_at: float = -math.inf
    whole_at: float = -math.inf

    def note(self, reach: Reach, now: float) -> None:
        self.begun_at = now
        if reach is Reach.WHOLE:
            self.whole_at = now

    def last_beyond(self, reach: Reach) -> float:
        return self.begun_at if reach is Reach.NOTHING else self.whole_at


class CrashRecords:
    """The crashes that this process knows of, its own and those of others.

    Each process keeps all of them, so that they outlive the entries that saw
    them and the host that passes them on.
    """

    def __init__(self) -> None:
        """Start without crashes."""
        self._records: dict[str, _Record] = {}
        self._answers: collections.OrderedDict[tuple[str, bytes], _Answers] = (
            collections.OrderedDict()
        )
        self._open_marks: frozenset[bytes] = frozenset()
        self._serial = 0

    @property
    def serial(self) -> int:
        """Return a version that grows with each change to be shared."""
        return self._serial

    def __bool__(self) -> bool:
        """Tell whether there are crashes."""
        return bool(self._records)

    def record(self, crash: Crash, now: float) -> None:
        """Record a crash, or merge what another process knows of it."""
        if min(crash.lost, crash.used) >= HISTORY_TTL_SECONDS:
            return
        held = self._records.get(crash.start)
        if held is None:
            held = self._add(crash, now)
        used_at = now - crash.used
        held.used_at = max(held.used_at, used_at)
        if used_at > held.shared_use_at + REFRESH_SECONDS:
            held.shared_use_at = used_at
            self._change(held)
        for suspect in crash.suspects:
            self._merge_suspect(held, suspect)
        self._find_open_marks()

    def record_answer(
        self,
        service: str,
        marks: collections.abc.Iterable[bytes],
        reach: Reach,
        now: float,
    ) -> None:
        """Record how far an answer got, which clears the crashes before it."""
        for mark in (*ANY_REACHES, *marks):
            answers = self._answers.setdefault((service, mark), _Answers())
            self._answers.move_to_end((service, mark))
            answers.note(reach, now)
            if mark in self._open_marks:
                self._clear(service, mark)
        while len(self._answers) > MAX_ANSWERS:
            self._answers.popitem(last=False)

    def record_use(
        self, starts: collections.abc.Iterable[str], now: float
    ) -> None:
        """Keep the crashes that a call was refused for."""
        for start in starts:
            held = self._records.get(start)
            if held is None:
                continue
            held.used_at = now
            if now - held.shared_use_at > REFRESH_SECONDS:
                held.shared_use_at = now
                self._change(held)

    def crashes(self, now: float, since: int = 0) -> list[Crash]:
        """List the crashes that have changed after version ``since``."""
        self._expire(now)
        return [
            Crash(
                start=start,
                service=held.service,
                witness=held.witness,
                lost=now - held.lost_at,
                used=now - held.used_at,
                suspects=tuple(held.suspects.values()),
            )
            for start, held in self._records.items()
            if held.serial > since
        ]

    def _add(self, crash: Crash, now: float) -> _Record:
        lost_at = now - crash.lost
        held = _Record(
            crash.service,
            crash.witness,
            lost_at,
            lost_at,
            lost_at,
        )
        self._records[crash.start] = held
        self._change(held)
        for mark, reach in ANY_REACHES.items():
            self._merge_suspect(held, Suspect(mark, reach=reach))
        if len(self._records) > MAX_CRASHES:
            oldest = min(self._records, key=self._last_use)
            self._records.pop(oldest)
        return held

    def _last_use(self, start: str) -> float:
        return self._records[start].used_at

    def _merge_suspect(self, held: _Record, suspect: Suspect) -> None:
        known = held.suspects.get(suspect.mark)
        if known is None and len(held.suspects) >= MAX_SUSPECTS:
            return
        merged = suspect if known is None else known.merged(suspect)
        if self._is_cleared(held, merged):
            merged = attrs.evolve(merged, is_cleared=True)
        if merged != known:
            held.suspects[suspect.mark] = merged
            self._change(held)

    def _clear(self, service: str, mark: bytes) -> None:
        for held in self._records.values():
            suspect = held.suspects.get(mark)
            if held.service != service or suspect is None:
                continue
            if not suspect.is_cleared and self._is_cleared(held, suspect):
                held.suspects[mark] = attrs.evolve(suspect, is_cleared=True)
                self._change(held)
        self._find_open_marks()

    def _is_cleared(self, held: _Record, suspect: Suspect) -> bool:
        answers = self._answers.get((held.service, suspect.mark))
        if answers is None:
            return suspect.is_cleared
        is_any = suspect.mark in ANY_REACHES
        window = SERVICE_CLEARING_SECONDS if is_any else CLEARING_SECONDS
        since = held.lost_at - window
        return suspect.is_cleared or answers.last_beyond(suspect.reach) >= since

    def _change(self, held: _Record) -> None:
        self._serial += 1
        held.serial = self._serial

    def _find_open_marks(self) -> None:
        self._open_marks = frozenset(
            suspect.mark
            for held in self._records.values()
            for suspect in held.suspects.values()
            if not suspect.is_cleared
        )

    def _expire(self, now: float) -> None:
        oldest = now - HISTORY_TTL_SECONDS
        expired = [
            start
            for start, held in self._records.items()
            if held.used_at < oldest
        ]
        for start in expired:
            self._records.pop(start)
        if expired:
            self._find_open_marks()


def to_message(crash: Crash) -> messages.SiteCrash:
    """Convert a crash into a message between nodes."""
    return messages.SiteCrash(
        start=crash.start,
        service_name=crash.service,
        witness=crash.witness,
        lost_ms=round(crash.lost * MILLISECONDS),
        used_ms=round(min(crash.used, crash.lost) * MILLISECONDS),
        suspects=[
            messages.SiteCrashSuspect(
                mark=suspect.mark,
                depth=suspect.depth,
                reach=suspect.reach,
                is_cleared=suspect.is_cleared,
            )
            for suspect in crash.suspects
        ],
    )


def from_message(message: messages.SiteCrash) -> Crash:
    """Convert a message back into a crash; raise ``FrameInvalid``."""
    try:
        return Crash(
            start=message.start,
            service=message.service_name,
            witness=message.witness or '',
            lost=_seconds(message.lost_ms),
            used=_seconds(message.used_ms),
            suspects=tuple(
                Suspect(
                    row.mark,
                    row.depth,
                    Reach(row.reach),
                    bool(row.is_cleared),
                )
                for row in message.suspects
            ),
        )
    except (TypeError, ValueError) as exc:
        raise errors.FrameInvalid(
            f'crash of target {message.start}: {exc}'
        ) from exc


def _seconds(milliseconds: int) -> float:
    if milliseconds < 0:
        raise ValueError(f'age of {milliseconds} ms')
    return milliseconds / MILLISECONDS
