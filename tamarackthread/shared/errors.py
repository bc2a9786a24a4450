"""Define the coded errors that callers, operators and peers see.

Every way to fail has one class with a stable code.  ``catalogue`` lists them
all, and ``docs/ERRORS.md`` is checked against it.  Other modules may define
errors of their own by deriving from ``CodedError``; they join the catalogue.
"""

from __future__ import annotations

import collections.abc

from tamarackthread.generated.messages import ttypes as messages

_classes: dict[str, type['CodedError']] = {}


class CodedError(Exception):
    """The base of every error that has a stable code.

    ``ran`` says what is known about the call's execution and ``status`` is
    the HTTP status that a caller gets; ``retry_after`` is in seconds.
    """

    code = 'TT0000'
    status = 500
    ran = messages.Ran.NOT_RUN

    def __init__(self, text: str = '', retry_after: float = 0) -> None:
        """Keep the text for people and the honest retry time in seconds."""
        super().__init__(text or self.__doc__ or '')
        self.retry_after = retry_after

    def __init_subclass__(cls) -> None:
        """Register the class under its code, refusing a second use of it."""
        super().__init_subclass__()
        other = _classes.get(cls.code)
        if other is not None and other.__qualname__ != cls.__qualname__:
            raise RuntimeError(f'{cls.code} is already {other.__name__}')
        _classes[cls.code] = cls


def catalogue() -> collections.abc.Iterator[type[CodedError]]:
    """Yield every coded error known so far, ordered by code."""
    for code in sorted(_classes):
        yield _classes[code]


def by_code(code: str) -> type[CodedError] | None:
    """Find the class for a code that a peer sent, or ``None``."""
    return _classes.get(code)


class LinkLost(CodedError):
    """Connection to a peer process was lost."""

    code = 'TT1001'
    status = 503
    ran = messages.Ran.MAY_HAVE_RUN


class RequestTimeout(CodedError):
    """Peer process did not answer in time."""

    code = 'TT1002'
    status = 503
    ran = messages.Ran.MAY_HAVE_RUN


class PeerFailure(CodedError):
    """Peer process answered with a failure that this version cannot name."""

    code = 'TT1003'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


class FrameInvalid(CodedError):
    """Peer sent a frame that makes no sense."""

    code = 'TT1004'


class FrameTooLarge(CodedError):
    """Peer sent a frame over the limit."""

    code = 'TT1005'


class GreetingRefused(CodedError):
    """Peer could not prove that it belongs to this system."""

    code = 'TT1006'


class RequestUnsupported(CodedError):
    """Request is not known to this process."""

    code = 'TT1007'
    status = 501


class StreamBroken(CodedError):
    """Stream between two processes broke in the middle."""

    code = 'TT1008'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


class AddressUnreachable(CodedError):
    """No connection to a peer process could be made."""

    code = 'TT1009'
    status = 503
