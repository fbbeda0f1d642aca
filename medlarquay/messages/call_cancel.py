"""The caller no longer waits for the answer of a call."""

import dataclasses

from medlarquay import ids

__all__ = ('CallCancel',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallCancel:
    """The caller no longer waits for the answer of a call.

    Attributes
    ----------
    call_id : ids.CallId
        Number of the call on the link.
    """

    call_id: ids.CallId
