"""Findings in settings and documents, and the error classes of their codes."""

from __future__ import annotations

import collections.abc

import attrs

from tamarackthread.shared import errors

BAD_REQUEST = 400


@attrs.frozen
class Finding:
    """One invalid value; ``place`` is ``file:line:column`` in a settings file and
    a path such as ``$.routing.policy`` in a document.
    """

    place: str
    code: str
    text: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f'{self.place}: {self.code} {self.text}'


class InvalidError(errors.CodedError):
    """Settings or a document are invalid; all findings are listed."""

    code = 'TT2000'
    status = BAD_REQUEST

    def __init__(
        self,
        findings: collections.abc.Iterable[Finding] = (),
    ) -> None:
        """Store the findings; the message has one line for each."""
        self._findings = tuple(findings)
        super().__init__('\n'.join(str(found) for found in self._findings))

    @property
    def findings(self) -> tuple[Finding, ...]:
        """Return all findings in order of place."""
        return self._findings


class FileUnreadable(errors.CodedError):
    """File cannot be read or is not UTF-8."""

    code = 'TT2001'
    status = BAD_REQUEST


class SyntaxInvalid(errors.CodedError):
    """Text is not JSON with comments."""

    code = 'TT2002'
    status = BAD_REQUEST


class KeyDuplicate(errors.CodedError):
    """Key appears twice in one object."""

    code = 'TT2003'
    status = BAD_REQUEST


class KeyUnknown(errors.CodedError):
    """Key is not known in this object."""

    code = 'TT2004'
    status = BAD_REQUEST


class KeyMissing(errors.CodedError):
    """Required key is missing."""

    code = 'TT2005'
    status = BAD_REQUEST


class TypeInvalid(errors.CodedError):
    """Value has the wrong type for its key."""

    code = 'TT2006'
    status = BAD_REQUEST


class UnitInvalid(errors.CodedError):
    """Value carries a unit; the key's name has the unit, the value none."""

    code = 'TT2007'
    status = BAD_REQUEST


class ValueInvalid(errors.CodedError):
    """Value is outside its range or not one of the choices."""

    code = 'TT2008'
    status = BAD_REQUEST


class AddressInvalid(errors.CodedError):
    """Address is not an IP number and a port."""

    code = 'TT2009'
    status = BAD_REQUEST


class AddressOverlap(errors.CodedError):
    """Two endpoints use the same address."""

    code = 'TT2010'
    status = BAD_REQUEST


class SectionMissing(errors.CodedError):
    """Section that the role needs is missing."""

    code = 'TT2011'
    status = BAD_REQUEST


class TimingInvalid(errors.CodedError):
    """Two durations contradict each other."""

    code = 'TT2012'
    status = BAD_REQUEST


class RestartNeeded(errors.CodedError):
    """Changed setting takes effect only at the next start."""

    code = 'TT2013'
    status = BAD_REQUEST


class SecretInvalid(errors.CodedError):
    """Key file or certificate cannot be used."""

    code = 'TT2014'


class KindUnknown(errors.CodedError):
    """Document is of no known kind."""

    code = 'TT2020'
    status = BAD_REQUEST


class NameInvalid(errors.CodedError):
    """Document's name cannot be used."""

    code = 'TT2021'
    status = BAD_REQUEST


class DocumentTooLarge(errors.CodedError):
    """Document is over the limit."""

    code = 'TT2022'
    status = BAD_REQUEST


class DocumentUnreadable(errors.CodedError):
    """Document that was accepted cannot be read by this version."""

    code = 'TT2023'
