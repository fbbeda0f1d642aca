"""State of the question to one peer."""

import dataclasses

from medlarquay import replica
from medlarquay.tasks import control_link

__all__ = ('VersionQuery',)


@dataclasses.dataclass(slots=True, kw_only=True)
class VersionQuery:
    """State of the question to one peer.

    Attributes
    ----------
    deadline : float
        When the present step ends, seconds on the monotonic clock.
    link : control_link.ControlLink or None
        Open link.
    vector : replica.VersionVector or None
        What the peer holds; None until it answered.
    fetching : bool
        Whether newer records were requested.
    """

    deadline: float
    link: control_link.ControlLink | None = None
    vector: replica.VersionVector | None = None
    fetching: bool = False
