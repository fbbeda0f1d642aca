"""Cancellation of a call; its caller no longer waits for the answer."""

import dataclasses

from medlarquay import ids

__all__ = ('CallCancel',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallCancel:
    """Cancellation of a call; its caller no longer waits for the answer.

    Attributes
    ----------
    call_id : ids.CallId
        Number of the call on the link.
    """

    call_id: ids.CallId
