"""A caller sent a request that violates a limit or the protocol."""

import dataclasses

from medlarquay import ids, states

__all__ = ('RequestRejected',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestRejected:
    """A caller sent a request that violates a limit or the protocol.

    Attributes
    ----------
    caller : ids.CallerId
        Connection of the caller.
    reason : states.RefusalReason
        Limit or rule that was violated.
    """

    caller: ids.CallerId
    reason: states.RefusalReason
