"""Define the coded errors of the replicated log."""

from __future__ import annotations

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors


class NotLeader(errors.CodedError):
    """This control host doesn't lead the group; nothing was proposed."""

    code = 'TT3001'
    status = 503

    def __init__(self, text: str = '', leader: str = '') -> None:
        """Keep the node that is believed to lead, empty if unknown."""
        super().__init__(text)
        self.leader = leader


class OutcomeUnknown(errors.CodedError):
    """Proposal was written to the log, but its commit was not seen."""

    code = 'TT3002'
    status = 504
    ran = messages.Ran.MAY_HAVE_RUN


class DiskFull(errors.CodedError):
    """Too little room on disk: changes are refused, reads go on."""

    code = 'TT3003'
    status = 507


class LogCorrupt(errors.CodedError):
    """Stored bytes fail their checksum and can't be a torn last write."""

    code = 'TT3004'

    def __init__(self, text: str = '', name: str = '', offset: int = 0) -> None:
        """Keep the file's name and the offset in bytes of the bad frame."""
        super().__init__(f'{name} at byte {offset}: {text}')
        self.name = name
        self.offset = offset


class GroupUnknown(errors.CodedError):
    """Request names a group that this control host doesn't run."""

    code = 'TT3005'
    status = 404


class MemberChangeRefused(errors.CodedError):
    """Change of the group's members can't be made now."""

    code = 'TT3006'
    status = 409


class NoQuorum(errors.CodedError):
    """Too few members answered to know that a read is current."""

    code = 'TT3007'
    status = 503


class ConsensusStopped(errors.CodedError):
    """Group's replica on this control host has stopped."""

    code = 'TT3008'
    status = 503


class DiskFailed(errors.CodedError):
    """Disk answered a write or a sync with an error."""

    code = 'TT3009'


class TooManyProposals(errors.CodedError):
    """Too many proposals wait for their commit; nothing was proposed."""

    code = 'TT3010'
    status = 503


class CommandTooLarge(errors.CodedError):
    """Command is too large for one message between members."""

    code = 'TT3011'
    status = 413
