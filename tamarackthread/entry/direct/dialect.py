"""Define the interface of an adapter for the headers of calls."""

from __future__ import annotations

import abc
import enum

import multidict
from aiohttp import web

from tamarackthread.entry.direct import calls
from tamarackthread.policy import backpressure


class ResponseKind(enum.Enum):
    """What a response from a target means for the call."""

    # The target refused the call without running it.
    NOT_RUN = 'not_run'
    # The same, because another target has the address.
    MISDIRECTED = 'elsewhere'
    # The target's answer to the call, good or bad.
    ANSWER = 'answer'
    # Not an answer to this call, or not from the target.
    MISMATCHED = 'stray'


class Dialect(abc.ABC):
    """Read and write the headers of callers and targets."""

    @abc.abstractmethod
    def read_request(self, request: web.BaseRequest) -> calls.CallRequest:
        """Parse the head of a request; raise a coded error if it is invalid."""

    @abc.abstractmethod
    def request_headers(
        self,
        call: calls.Call,
        target: str,
        time_left: float,
        last_event_id: str,
    ) -> calls.Headers:
        """Build the headers of a request that only ``target`` may accept.

        ``time_left`` is in seconds; ``last_event_id`` is empty before any
        event.
        """

    @property
    @abc.abstractmethod
    def id_header(self) -> str:
        """Return the header of a call's id, which targets echo."""

    @abc.abstractmethod
    def classify(
        self,
        call: calls.Call,
        status: int,
        headers: multidict.CIMultiDictProxy[str],
    ) -> ResponseKind:
        """Classify a response by its status and headers."""

    @abc.abstractmethod
    def read_backpressure(
        self,
        status: int,
        headers: multidict.CIMultiDictProxy[str],
    ) -> backpressure.Backpressure:
        """Read the backpressure that a response asks for."""

    @abc.abstractmethod
    def response_headers(
        self,
        headers: multidict.CIMultiDictProxy[str],
    ) -> list[tuple[str, str]]:
        """Select the headers of a response that the caller gets."""

    @abc.abstractmethod
    def refusal_headers(self, call_id: str) -> list[tuple[str, str]]:
        """Build the headers of an error response made by the entry."""
