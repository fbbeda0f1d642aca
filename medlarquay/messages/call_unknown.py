"""The outcome of a call cannot be known."""

import dataclasses

from medlarquay import ids, states

__all__ = ('CallUnknown',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallUnknown:
    """The outcome of a call cannot be known.

    Attributes
    ----------
    call_id : ids.CallId
        Number of the call.
    reason : states.RefusalReason
        What broke.
    """

    call_id: ids.CallId
    reason: states.RefusalReason
