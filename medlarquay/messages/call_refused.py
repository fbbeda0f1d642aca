"""Proof that a call was not run by this attempt."""

import dataclasses

from medlarquay import ids, states
from medlarquay.messages import load_state

__all__ = ('CallRefused',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRefused:
    """Proof that a call was not run by this attempt.

    Attributes
    ----------
    call_id : ids.CallId
        Number of the call.
    reason : states.RefusalReason
        Why it was refused.
    load : load_state.LoadState | None
        Load of the owner, if known.
    retry_allowed : bool
        False when no further attempt may be made.
    """

    call_id: ids.CallId
    reason: states.RefusalReason
    load: load_state.LoadState | None = None
    retry_allowed: bool = True
