"""State of the version query to one peer."""

import dataclasses

from medlarquay import replica
from medlarquay.tasks import control_link

__all__ = ('VersionQuery',)


@dataclasses.dataclass(slots=True, kw_only=True)
class VersionQuery:
    """State of the version query to one peer.

    Attributes
    ----------
    deadline : float
        When the present step times out, seconds on the monotonic clock. The
        steps are the answer, a delay before the fetch, and the fetch.
    link : control_link.ControlLink or None
        Link, once it is open.
    vector : replica.VersionVector or None
        Version vector of the peer; None until it has answered.
    fetching : bool
        Whether newer records were requested.
    """

    deadline: float
    link: control_link.ControlLink | None = None
    vector: replica.VersionVector | None = None
    fetching: bool = False
