"""What a caller is told when no further attempt follows a failure."""

import functools
from typing import Protocol

from medlarquay import ingress, messages, states

__all__ = ('CallTeller', 'give_up')


class CallTeller(Protocol):
    """Answers the callers of calls."""

    def tell_answer(
        self,
        call: ingress.IngressCall,
        message: messages.CallAnswered,
    ) -> None:
        """Give the caller of a call the answer of a backend server."""

    def tell_refusal(
        self,
        call: ingress.IngressCall,
        reason: states.RefusalReason,
        *,
        final: bool,
        link_wait: float = 0,
    ) -> None:
        """Tell the caller of a call that it was not run."""

    def tell_unknown(
        self,
        call: ingress.IngressCall,
        reason: states.RefusalReason,
    ) -> None:
        """Tell the caller of a call that its outcome is not known."""


@functools.singledispatch
def give_up(
    failure: object,
    call: ingress.IngressCall,
    teller: CallTeller,
) -> None:
    """Tell the caller of a call what its last attempt came to."""
    raise TypeError(f'unexpected failure {type(failure).__name__}')


@give_up.register
def _tell_refused(
    failure: messages.CallRefused,
    call: ingress.IngressCall,
    teller: CallTeller,
) -> None:
    link_wait = 0 if failure.load is None else failure.load.link_wait
    teller.tell_refusal(
        call,
        failure.reason,
        final=True,
        link_wait=link_wait,
    )


@give_up.register
def _tell_unknown(
    failure: messages.CallUnknown,
    call: ingress.IngressCall,
    teller: CallTeller,
) -> None:
    teller.tell_unknown(call, failure.reason)


@give_up.register
def _tell_answer(
    failure: messages.CallAnswered,
    call: ingress.IngressCall,
    teller: CallTeller,
) -> None:
    teller.tell_answer(call, failure)
