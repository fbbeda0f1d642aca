"""Proof that a failed attempt reached no backend server."""

import functools

from medlarquay import messages, states

__all__ = ('proves_not_sent',)


@functools.singledispatch
def proves_not_sent(failure: object) -> bool:
    """Return whether a failure proves that the call was not sent.

    Parameters
    ----------
    failure : CallRefused, CallUnknown or CallAnswered
        Result of the attempt.

    Returns
    -------
    bool
        True if no backend server received the call. A call that was refused
        as shed reached its backend server.
    """
    return False


@proves_not_sent.register
def _refused(failure: messages.CallRefused) -> bool:
    return failure.reason is not states.RefusalReason.SHED
