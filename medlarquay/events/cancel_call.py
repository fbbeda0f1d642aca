"""Cancel a call at the owner of this node."""

import dataclasses

from medlarquay import ids

__all__ = ('CancelCall',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelCall:
    """Cancel a call at the owner of this node.

    Attributes
    ----------
    link : ids.LinkId
        Link of the call; 0 for the ingress of this node.
    call_id : ids.CallId
        Call to cancel.
    """

    link: ids.LinkId
    call_id: ids.CallId
