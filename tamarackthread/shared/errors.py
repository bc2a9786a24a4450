"""Errors with stable codes; subclasses in any module join ``catalogue``."""

from __future__ import annotations

import collections.abc

from tamarackthread.generated.messages import ttypes as messages

_classes: dict[str, type['CodedError']] = {}


class CodedError(Exception):
    """Base of all errors with a code.  ``ran`` says whether the call was run,
    ``status`` is the HTTP status for the caller.
    """

    code = 'TT0000'
    status = 500
    ran = messages.Ran.NOT_RUN

    def __init__(self, text: str = '', retry_after: float = 0) -> None:
        """Set the message and the seconds after which to retry."""
        super().__init__(text or self.__doc__ or '')
        self.retry_after = retry_after

    def __init_subclass__(cls) -> None:
        """Register the class; raise ``RuntimeError`` if its code is taken."""
        super().__init_subclass__()
        other = _classes.get(cls.code)
        if other is not None and other.__qualname__ != cls.__qualname__:
            raise RuntimeError(f'{cls.code} is already {other.__name__}')
        _classes[cls.code] = cls


def catalogue() -> collections.abc.Iterator[type[CodedError]]:
    """Yield all registered error classes in order of code."""
    for code in sorted(_classes):
        yield _classes[code]


def by_code(code: str) -> type[CodedError] | None:
    """Return the error class of a code, or ``None``."""
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
    """Peer process answered with an error code that is unknown here."""

    code = 'TT1003'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


class FrameInvalid(CodedError):
    """Peer sent a malformed frame."""

    code = 'TT1004'


class FrameTooLarge(CodedError):
    """Peer sent a frame over the limit."""

    code = 'TT1005'


class GreetingRefused(CodedError):
    """Peer could not authenticate as part of this system."""

    code = 'TT1006'


class RequestUnsupported(CodedError):
    """Request is not known to this process."""

    code = 'TT1007'
    status = 501


class StreamBroken(CodedError):
    """Stream between two processes ended early."""

    code = 'TT1008'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


class AddressUnreachable(CodedError):
    """No connection to a peer process could be made."""

    code = 'TT1009'
    status = 503
