"""Grant an offered call."""

import dataclasses

from medlarquay import ids

__all__ = ('SendGrant',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendGrant:
    """Let an ingress send the request of a call that it offered.

    Attributes
    ----------
    link : ids.LinkId
        Link of the call.
    call_id : ids.CallId
        Call.
    """

    link: ids.LinkId
    call_id: ids.CallId
