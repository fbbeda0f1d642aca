"""Promises that a soak checks."""

import enum

__all__ = ('FindingKind',)


class FindingKind(enum.Enum):
    """Kinds of broken promises.

    Each value starts with the number of the promise in design.md, if it has
    one.
    """

    LOST = 'P8 connection ended without an answer'
    UNREACHED = 'P8 a node that was not stopped accepted no connection'
    UNANSWERED = 'P4 no answer and no end of the connection'
    NOT_WHOLE = 'P4 answer not whole'
    FOREIGN = 'P4 answer to another request'
    STRAY = 'P4 answer that no request waited for'
    TOLD_RUN = 'P5 told run, no run'
    TOLD_NOT_RUN = 'P5 told not run, but ran'
    TWICE = 'P6 ran twice'
    REVERTED = 'P1 older version after a newer one'
    LEAVING = 'P7 new work at a leaving backend server'
    LATE_STOP = 'P8 not gone by the drain deadline'
    EXITED = 'process ended by itself or with a failure'
    URGENT = 'P11 urgent calls late on a full link'
    UNREADY = 'not ready after the faults'
