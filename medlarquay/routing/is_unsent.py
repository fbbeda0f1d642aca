"""Proof that a failed attempt reached no backend server."""

import functools

from medlarquay import messages, states

__all__ = ('is_unsent',)


@functools.singledispatch
def is_unsent(failure: object) -> bool:
    """Return whether a failure proves that no backend server was asked."""
    return False


@is_unsent.register
def _refused(failure: messages.CallRefused) -> bool:
    return failure.reason is not states.RefusalReason.SHED
