"""Define what an adapter translates between callers, entry and targets."""

from __future__ import annotations

import abc
import enum

import multidict
from aiohttp import web

from tamarackthread.entry.direct import calls
from tamarackthread.policy import backpressure


class ResponseKind(enum.Enum):
    """Say what a target's answer tells of the call.

    ``NOT_RUN``: refused, and never will run.  ``ELSEWHERE``: the same, because
    the target that was meant is not at this address any more.  ``ANSWER``: the
    target's own answer to this call, good or bad.  ``STRAY``: not an answer to
    this call, or not the target's.
    """

    NOT_RUN = 'not_run'
    ELSEWHERE = 'elsewhere'
    ANSWER = 'answer'
    STRAY = 'stray'


class Dialect(abc.ABC):
    """Read and write the headers that callers and targets use."""

    @abc.abstractmethod
    def read(self, request: web.BaseRequest) -> calls.CallRequest:
        """Read a request's head; raise a coded error if it makes no sense."""

    @abc.abstractmethod
    def outgoing(
        self,
        call: calls.Call,
        target: str,
        left: float,
        position: str,
    ) -> calls.Headers:
        """Write the head for a target that has ``left`` seconds.

        The caller's own headers are in it but for those that callers may not
        set and those that are not the target's business, such as the key.

        ``target`` is the start of a target that the call is meant for; any
        other must refuse it.  ``position`` is the last event already passed
        on, empty from the beginning.
        """

    @abc.abstractmethod
    def judge(
        self,
        call: calls.Call,
        status: int,
        headers: multidict.CIMultiDictProxy[str],
    ) -> ResponseKind:
        """Tell what a target's head says of the call."""

    @abc.abstractmethod
    def asked(
        self,
        status: int,
        headers: multidict.CIMultiDictProxy[str],
    ) -> backpressure.Backpressure:
        """Read what a target's head asks of this entry."""

    @abc.abstractmethod
    def answer(
        self,
        headers: multidict.CIMultiDictProxy[str],
    ) -> list[tuple[str, str]]:
        """Pick the headers of a target's answer that the caller gets."""

    @abc.abstractmethod
    def refusal(self, call_id: str) -> list[tuple[str, str]]:
        """Write the headers of an answer that is the entry's own."""
