"""Define the errors of engine orders and map switches."""

from __future__ import annotations

from tamarackthread.shared import errors


class OrderStale(errors.CodedError):
    """Order carries an older fencing number than one already seen."""

    code = 'TT5101'
    status = 409


class OrderExpired(errors.CodedError):
    """Order reached the engine's agent after its deadline."""

    code = 'TT5102'
    status = 408


class OrderInvalid(errors.CodedError):
    """Order has an unknown action or a body that cannot be read."""

    code = 'TT5103'
    status = 422


class FenceUnknown(errors.CodedError):
    """Agent has not yet read the highest fencing number from control."""

    code = 'TT5104'
    status = 503


class NotOwner(errors.CodedError):
    """Process does not hold the group's lease."""

    code = 'TT5105'
    status = 409


class ArmTooLate(errors.CodedError):
    """Rank has begun the step from which the new map should serve."""

    code = 'TT5106'
    status = 409


class RankNotReady(errors.CodedError):
    """Rank has no map to start from yet, or lacks the new map's weights."""

    code = 'TT5107'
    status = 409


class SwitchAborted(errors.CodedError):
    """Switch of the expert map was aborted; the old map stays in force."""

    code = 'TT5108'
    status = 409


class MapUnknown(errors.CodedError):
    """No rank of the group has the requested expert map."""

    code = 'TT5109'
    status = 503


class EngineFailed(errors.CodedError):
    """Engine refused or failed an order."""

    code = 'TT5110'
    status = 502


class ControlUnreachable(errors.CodedError):
    """No control host answered about a lease or a decision."""

    code = 'TT5111'
    status = 503


class RolloutStopped(errors.CodedError):
    """Version roll-out was stopped; the groups after it keep their version."""

    code = 'TT5112'
    status = 409


class SwitchUnderWay(errors.CodedError):
    """Another switch of the group's expert map is in progress."""

    code = 'TT5113'
    status = 409
