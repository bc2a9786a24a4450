"""Know whether the caller of an order still waits for the answer."""

from __future__ import annotations

import abc

from aiohttp import web

from tamarackthread.shared import link


class Caller(abc.ABC):
    """The operator or target that has sent an order."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Return who asked, for the audit trail."""

    @property
    @abc.abstractmethod
    def is_waiting(self) -> bool:
        """Return ``False`` once the caller has closed its connection."""


class HttpCaller(Caller):
    """Caller of the HTTP interface."""

    def __init__(self, request: web.Request) -> None:
        """Watch the connection of a request."""
        self._request = request

    @property
    def name(self) -> str:
        """Return the address of the caller."""
        return f'an operator at {self._request.remote}'

    @property
    def is_waiting(self) -> bool:
        """Return ``False`` once the caller has closed its connection."""
        transport = self._request.transport
        return transport is not None and not transport.is_closing()


class LinkCaller(Caller):
    """Caller on a link, such as the command line."""

    def __init__(self, peer: link.Link, author: str) -> None:
        """Watch a link; ``author`` is who the peer says has asked."""
        self._peer = peer
        self._author = author

    @property
    def name(self) -> str:
        """Return the author."""
        return self._author

    @property
    def is_waiting(self) -> bool:
        """Return ``False`` once the link is closed."""
        return not self._peer.is_closed
