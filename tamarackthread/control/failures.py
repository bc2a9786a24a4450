"""Coded errors of the replicated log."""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


class NotLeader(errors.CodedError):
    """This control host is not the leader; nothing was proposed."""

    code = 'TT3001'
    status = 503

    def __init__(self, text: str = '', leader: str = '') -> None:
        """Store the node of the presumed leader, empty if unknown."""
        super().__init__(text)
        self.leader = leader


class OutcomeUnknown(errors.CodedError):
    """Proposal was appended to the log, but its commit is unconfirmed."""

    code = 'TT3002'
    status = 504
    ran = messages.Ran.MAY_HAVE_RUN


class DiskFull(errors.CodedError):
    """Disk is almost full: changes are refused, reads are served."""

    code = 'TT3003'
    status = 507


class LogCorrupt(errors.CodedError):
    """Stored bytes fail their checksum, other than a torn last write."""

    code = 'TT3004'

    def __init__(self, text: str = '', name: str = '', offset: int = 0) -> None:
        """Store the file name and the byte offset of the corrupt frame."""
        super().__init__(f'{name} at byte {offset}: {text}')
        self.name = name
        self.offset = offset


class GroupUnknown(errors.CodedError):
    """Request names a group that this control host does not run."""

    code = 'TT3005'
    status = 404


class MemberChangeRefused(errors.CodedError):
    """Membership change is not possible now."""

    code = 'TT3006'
    status = 409


class NoQuorum(errors.CodedError):
    """No quorum confirmed that a read is current."""

    code = 'TT3007'
    status = 503


class ConsensusStopped(errors.CodedError):
    """Group's replica on this control host has stopped."""

    code = 'TT3008'
    status = 503


class DiskFailed(errors.CodedError):
    """Disk write or sync failed."""

    code = 'TT3009'


class TooManyProposals(errors.CodedError):
    """Too many proposals are uncommitted; nothing was proposed."""

    code = 'TT3010'
    status = 503


class CommandTooLarge(errors.CodedError):
    """Command exceeds the size of one message between members."""

    code = 'TT3011'
    status = 413
