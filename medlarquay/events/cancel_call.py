"""Cancel a request given to the owner."""

import dataclasses

from medlarquay import ids

__all__ = ('CancelCall',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelCall:
    """Cancel a request given to the owner.

    Attributes
    ----------
    link : ids.LinkId
        Link of the call; 0 for the ingress of this node.
    call_id : ids.CallId
        Call to cancel.
    """

    link: ids.LinkId
    call_id: ids.CallId
