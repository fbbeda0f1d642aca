"""Run a call on the local backend server."""

import dataclasses

from medlarquay import ids, messages

__all__ = ('RunCall',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunCall:
    """Run a call on the local backend server.

    Attributes
    ----------
    link : ids.LinkId
        Link to answer on; 0 for the ingress of this node.
    request : messages.CallRequest
        Request of the call.
    """

    link: ids.LinkId
    request: messages.CallRequest
