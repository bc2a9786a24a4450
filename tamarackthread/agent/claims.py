"""Guard the target against claimed calls that must not start.

A claim's record at its shard says where the call may start and until when.
This process has the last word: it starts each claim at most once, refuses a
fence lower than one it knows, and on request seals a claim so that it never
starts here.  A seal is the proof with which another entry may take over.

Memory is bounded.  What was forgotten is refused by its window, and a probe
about it is answered with 'not known' and never with 'did not come'.
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
    """The small whole answer of a claimed call."""

    status: int
    headers: tuple[messages.Header, ...]
    body: bytes

    @property
    def size(self) -> int:
        """Count the bytes that keeping it takes."""
        names = sum(len(header.name) for header in self.headers)
        values = sum(len(header.value) for header in self.headers)
        return len(self.body) + names + values


@attrs.define(eq=False)
class _Known:
    """What is remembered of one key; times on this process's clock."""

    fence: int
    state: _State
    forget_at_ms: int
    answer: Answer | None = None

    @property
    def has_started(self) -> bool:
        """Tell whether the target may have begun it."""
        return self.state in {_State.STARTED, _State.FINISHED}

    def keep_past(self, time_ms: int) -> None:
        """Remember it for the whole period after this time."""
        self.forget_at_ms = max(
            self.forget_at_ms,
            time_ms + claim_times.remember_ms(self.fence),
        )


class ClaimGate:
    """Remember the claims that came here and refuse those that may not run."""

    def __init__(
        self,
        target: str,
        incarnation: int,
        max_claims: int = MAX_CLAIMS,
    ) -> None:
        """Know nothing yet; ``incarnation`` names this start of the process.

        An earlier start's memory is lost.  Claims that name it are refused,
        and probes about them prove nothing.
        """
        self._target = target
        self._incarnation = incarnation
        self._max_claims = max_claims
        self._known: dict[bytes, _Known] = {}
        self._forgets: list[tuple[int, bytes]] = []
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Count the claims remembered now."""
        return len(self._known)

    def admit(self, opening: messages.OpenCall) -> None:
        """Let a claimed call start, once; raise a coded error otherwise.

        Call it in the same step of the loop as the hand-over to the target:
        what is admitted here counts as started from now on.
        """
        handover = self._check_window(opening.handover)
        self._forget_old()
        known = self._known.get(opening.claim)
        if known is None:
            known = self._remember(opening.claim, opening.fence, handover)
        # A higher fence after a start would mean that the claim was given
        # away without proof.  The order would be delivered twice; refused
        # here, it runs once however the mistake came about.
        stale = opening.fence < known.fence or known.has_started
        if stale or _is_sealed(known, opening.fence):
            raise claim_errors.ClaimFenced
        known.fence = opening.fence
        known.state = _State.STARTED
        known.keep_past(handover.until_ms)

    def withdraw(self, opening: messages.OpenCall) -> None:
        """Note that an admitted call did not reach the target after all."""
        known = self._known.get(opening.claim)
        if known is not None and known.fence == opening.fence:
            known.state = _State.WAITING

    def finish(
        self,
        opening: messages.OpenCall,
        answer: Answer | None,
    ) -> None:
        """Note that an admitted call is over, with its answer if whole."""
        known = self._known.get(opening.claim)
        if known is None or known.fence != opening.fence:
            return
        if known.state is not _State.STARTED:
            return
        known.state = _State.FINISHED
        known.keep_past(_now_ms())
        if answer is not None and self._has_room(answer):
            known.answer = answer
            self._answer_bytes += answer.size

    def probe(self, ask: messages.ClaimProbe) -> messages.ClaimProof:
        """Tell whether a claim started here, and seal it on request."""
        self._forget_old()
        handover = ask.handover
        if not self._can_tell(handover, ask.fence):
            return messages.ClaimProof(
                known=False,
                reached=False,
                finished=False,
                sealed=False,
            )
        known = self._known.get(ask.claim)
        if known is not None and known.has_started:
            return _started(known)
        return messages.ClaimProof(
            known=True,
            reached=False,
            finished=False,
            sealed=self._seal(ask, known) if ask.seal else False,
        )

    def _check_window(
        self,
        handover: messages.Handover | None,
    ) -> messages.Handover:
        if handover is None or not self._is_own(handover):
            raise claim_errors.HandoverMismatch
        # The frame may have waited in a buffer while one of the processes
        # was stopped.  By then the claim may be forgotten and granted anew,
        # and the call would run twice.  Past its window it never starts.
        left_ms = handover.until_ms - _now_ms()
        if left_ms < 0 or left_ms > claim_times.WINDOW_MS:
            raise claim_errors.HandoverExpired
        return handover

    def _is_own(self, handover: messages.Handover) -> bool:
        return (
            handover.target == self._target
            and handover.incarnation == self._incarnation
        )

    def _can_tell(
        self,
        handover: messages.Handover | None,
        fence: int,
    ) -> bool:
        if handover is None or not self._is_own(handover):
            return False
        period = claim_times.remember_ms(fence)
        return _now_ms() < handover.until_ms + period

    def _remember(
        self,
        key: bytes,
        fence: int,
        handover: messages.Handover,
    ) -> _Known:
        if len(self._known) >= self._max_claims:
            raise claim_errors.GateFull
        forget_at = handover.until_ms + claim_times.remember_ms(fence)
        known = _Known(fence, _State.WAITING, forget_at)
        self._known[key] = known
        heapq.heappush(self._forgets, (forget_at, key))
        return known

    def _seal(self, ask: messages.ClaimProbe, known: _Known | None) -> bool:
        if known is None:
            try:
                known = self._remember(ask.claim, ask.fence, ask.handover)
            except claim_errors.GateFull:
                # Without room for a seal, the end of the window is one.
                return _now_ms() > ask.handover.until_ms
        if ask.fence >= known.fence:
            known.fence = ask.fence
            known.state = _State.SEALED
            known.keep_past(ask.handover.until_ms)
        return True

    def _forget_old(self) -> None:
        now = _now_ms()
        while self._forgets and self._forgets[0][0] <= now:
            key = heapq.heappop(self._forgets)[1]
            known = self._known[key]
            if known.state is _State.STARTED:
                # Still with the target: looked at again after the period.
                known.keep_past(now)
            if known.forget_at_ms > now:
                heapq.heappush(self._forgets, (known.forget_at_ms, key))
                continue
            self._known.pop(key)
            if known.answer is not None:
                self._answer_bytes -= known.answer.size

    def _has_room(self, answer: Answer) -> bool:
        if answer.size > MAX_ANSWER_BYTES:
            return False
        return self._answer_bytes + answer.size <= MAX_ANSWERS_BYTES


def _is_sealed(known: _Known, fence: int) -> bool:
    return known.state is _State.SEALED and known.fence >= fence


def _started(known: _Known) -> messages.ClaimProof:
    proof = messages.ClaimProof(
        known=True,
        reached=True,
        finished=known.state is _State.FINISHED,
        sealed=False,
        answered=known.answer is not None,
    )
    if known.answer is not None:
        proof.status = known.answer.status
        proof.headers = list(known.answer.headers)
        proof.body = known.answer.body
    return proof


def _now_ms() -> int:
    loop = asyncio.get_running_loop()
    return int(loop.time() * claim_times.MILLISECONDS)
