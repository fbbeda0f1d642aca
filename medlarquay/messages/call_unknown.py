"""The outcome of a call is unknown: it may have run."""

import dataclasses

from medlarquay import ids, states

__all__ = ('CallUnknown',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallUnknown:
    """The outcome of a call is unknown: it may have run.

    Attributes
    ----------
    call_id : ids.CallId
        Number of the call.
    reason : states.RefusalReason
        Why the outcome is unknown.
    """

    call_id: ids.CallId
    reason: states.RefusalReason
