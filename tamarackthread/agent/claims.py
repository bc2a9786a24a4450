"""Start each claimed call at most once at this target, and seal a claim on
request, so that another entry may take it over.
"""

from __future__ import annotations

import asyncio
import enum
import heapq

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_errors, claim_times

MAX_CLAIMS = 20_000
MAX_ANSWER_BYTES = 16 * 1024
MAX_ANSWERS_BYTES = 4 * 1024 * 1024


class _State(enum.Enum):
    WAITING = 1
    STARTED = 2
    FINISHED = 3
    SEALED = 4


@attrs.frozen
class Answer:
    """A complete response of a claimed call, small enough to keep."""

    status: int
    headers: tuple[messages.Header, ...]
    body: bytes

    @property
    def size(self) -> int:
        """Return its size in bytes, headers included."""
        names = sum(len(header.name) for header in self.headers)
        values = sum(len(header.value) for header in self.headers)
        return len(self.body) + names + values


@attrs.define(eq=False)
class _ClaimEntry:
    """State of one claim; times in milliseconds of the loop's clock."""

    fence: int
    state: _State
    expires_at_ms: int
    answer: Answer | None = None

    @property
    def has_started(self) -> bool:
        """Tell whether the call may have reached the target."""
        return self.state in {_State.STARTED, _State.FINISHED}

    def extend_past(self, time_ms: int) -> None:
        """Keep the entry for at least the retention period after ``time_ms``."""
        self.expires_at_ms = max(
            self.expires_at_ms,
            time_ms + claim_times.agent_ttl_ms(self.fence),
        )


class ClaimGate:
    """Track claims in a bounded table and reject calls that must not start."""

    def __init__(
        self,
        target: str,
        incarnation: int,
        max_claims: int = MAX_CLAIMS,
    ) -> None:
        """Start with an empty table.  Claims of an earlier ``incarnation`` are
        refused, because the table of that start is lost.
        """
        self._target = target
        self._incarnation = incarnation
        self._max_claims = max_claims
        self._entries: dict[bytes, _ClaimEntry] = {}
        self._expirations: list[tuple[int, bytes]] = []
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Return the number of claims in the table."""
        return len(self._entries)

    def admit(self, opening: messages.OpenCall) -> None:
        """Mark a claimed call as started; raise a coded error if it must not.
        Send the call to the target without yielding to the loop in between.
        """
        handover = self._check_window(opening.handover)
        self._evict_expired()
        entry = self._entries.get(opening.claim)
        if entry is None:
            entry = self._add(opening.claim, opening.fence, handover)
        # A started claim is refused under a higher fencing number too: the
        # call would run twice if a takeover was granted by mistake.
        stale = opening.fence < entry.fence or entry.has_started
        if stale or _is_sealed(entry, opening.fence):
            raise claim_errors.ClaimFenced
        entry.fence = opening.fence
        entry.state = _State.STARTED
        entry.extend_past(handover.until_ms)

    def withdraw(self, opening: messages.OpenCall) -> None:
        """Undo ``admit`` for a call that did not reach the target."""
        entry = self._entries.get(opening.claim)
        if entry is not None and entry.fence == opening.fence:
            entry.state = _State.WAITING

    def finish(
        self,
        opening: messages.OpenCall,
        answer: Answer | None,
    ) -> None:
        """Record that an admitted call ended, with its complete answer if any."""
        entry = self._entries.get(opening.claim)
        if entry is None or entry.fence != opening.fence:
            return
        if entry.state is not _State.STARTED:
            return
        entry.state = _State.FINISHED
        entry.extend_past(_now_ms())
        if answer is not None and self._has_room(answer):
            entry.answer = answer
            self._answer_bytes += answer.size

    def probe(self, request: messages.ClaimProbe) -> messages.ClaimProof:
        """Report whether a claim started here, and seal it on request."""
        self._evict_expired()
        handover = request.handover
        if not self._is_retained(handover, request.fence):
            return messages.ClaimProof(
                known=False,
                reached=False,
                finished=False,
                sealed=False,
            )
        entry = self._entries.get(request.claim)
        if entry is not None and entry.has_started:
            return _proof_of_start(entry)
        return messages.ClaimProof(
            known=True,
            reached=False,
            finished=False,
            sealed=self._seal(request, entry) if request.seal else False,
        )

    def _check_window(
        self,
        handover: messages.Handover | None,
    ) -> messages.Handover:
        if handover is None or not self._is_for_this_start(handover):
            raise claim_errors.HandoverMismatch
        # A frame delayed past its window may belong to a claim that has been
        # evicted and granted again; starting it would run the call twice.
        left_ms = handover.until_ms - _now_ms()
        if left_ms < 0 or left_ms > claim_times.START_WINDOW_MS:
            raise claim_errors.HandoverExpired
        return handover

    def _is_for_this_start(self, handover: messages.Handover) -> bool:
        return (
            handover.target == self._target
            and handover.incarnation == self._incarnation
        )

    def _is_retained(
        self,
        handover: messages.Handover | None,
        fence: int,
    ) -> bool:
        if handover is None or not self._is_for_this_start(handover):
            return False
        period = claim_times.agent_ttl_ms(fence)
        return _now_ms() < handover.until_ms + period

    def _add(
        self,
        key: bytes,
        fence: int,
        handover: messages.Handover,
    ) -> _ClaimEntry:
        if len(self._entries) >= self._max_claims:
            raise claim_errors.GateFull
        expires_at = handover.until_ms + claim_times.agent_ttl_ms(fence)
        entry = _ClaimEntry(fence, _State.WAITING, expires_at)
        self._entries[key] = entry
        heapq.heappush(self._expirations, (expires_at, key))
        return entry

    def _seal(
        self, request: messages.ClaimProbe, entry: _ClaimEntry | None
    ) -> bool:
        if entry is None:
            try:
                entry = self._add(
                    request.claim, request.fence, request.handover
                )
            except claim_errors.GateFull:
                # Without room for an entry, an expired window is the seal.
                return _now_ms() > request.handover.until_ms
        if request.fence >= entry.fence:
            entry.fence = request.fence
            entry.state = _State.SEALED
            entry.extend_past(request.handover.until_ms)
        return True

    def _evict_expired(self) -> None:
        now = _now_ms()
        while self._expirations and self._expirations[0][0] <= now:
            key = heapq.heappop(self._expirations)[1]
            entry = self._entries[key]
            if entry.state is _State.STARTED:
                # A running call is never evicted.
                entry.extend_past(now)
            if entry.expires_at_ms > now:
                heapq.heappush(self._expirations, (entry.expires_at_ms, key))
                continue
            self._entries.pop(key)
            if entry.answer is not None:
                self._answer_bytes -= entry.answer.size

    def _has_room(self, answer: Answer) -> bool:
        if answer.size > MAX_ANSWER_BYTES:
            return False
        return self._answer_bytes + answer.size <= MAX_ANSWERS_BYTES


def _is_sealed(entry: _ClaimEntry, fence: int) -> bool:
    return entry.state is _State.SEALED and entry.fence >= fence


def _proof_of_start(entry: _ClaimEntry) -> messages.ClaimProof:
    proof = messages.ClaimProof(
        known=True,
        reached=True,
        finished=entry.state is _State.FINISHED,
        sealed=False,
        answered=entry.answer is not None,
    )
    if entry.answer is not None:
        proof.status = entry.answer.status
        proof.headers = list(entry.answer.headers)
        proof.body = entry.answer.body
    return proof


def _now_ms() -> int:
    loop = asyncio.get_running_loop()
    return int(loop.time() * claim_times.MILLISECONDS)
