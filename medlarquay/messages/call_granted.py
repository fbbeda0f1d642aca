"""Permission to send the request of an offered call."""

import dataclasses

from medlarquay import ids

__all__ = ('CallGranted',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallGranted:
    """Permission to send the request of an offered call.

    Attributes
    ----------
    call_id : ids.CallId
        Number of the call on the link.
    """

    call_id: ids.CallId
