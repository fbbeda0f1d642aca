"""Times of a graceful stop."""

import dataclasses

__all__ = ('StopPace',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopPace:
    """Times of a graceful stop.

    Attributes
    ----------
    linger_s : float
        Seconds for which callers still send requests after the node was
        asked to stop.
    flush_s : float
        Seconds for which answers that were written may leave the socket
        buffers; stopping the reactor would cut them off.
    """

    linger_s: float = 0
    flush_s: float = 1
