"""Proof that a failed attempt reached no backend server."""

import functools

from medlarquay import messages, states

__all__ = ('proves_not_sent',)


@functools.singledispatch
def proves_not_sent(failure: object) -> bool:
    """Return whether a failure proves that no backend server was asked."""
    return False


@proves_not_sent.register
def _refused(failure: messages.CallRefused) -> bool:
    return failure.reason is not states.RefusalReason.SHED
