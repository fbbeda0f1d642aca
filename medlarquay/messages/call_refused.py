"""Refusal of a call; proves that this attempt did not run it."""

import dataclasses

from medlarquay import ids, states
from medlarquay.messages import load_state

__all__ = ('CallRefused',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRefused:
    """Refusal of a call; proves that this attempt did not run it.

    Attributes
    ----------
    call_id : ids.CallId
        Number of the call.
    reason : states.RefusalReason
        Why the call was refused.
    load : load_state.LoadState | None
        Load of the owner, if known.
    retry_allowed : bool
        False when the call must not be attempted again.
    """

    call_id: ids.CallId
    reason: states.RefusalReason
    load: load_state.LoadState | None = None
    retry_allowed: bool = True
