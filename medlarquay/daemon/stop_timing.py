"""Times of a graceful stop."""

import dataclasses

__all__ = ('StopTiming',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopTiming:
    """Times of a graceful stop.

    Attributes
    ----------
    linger_s : float
        Seconds for which callers may still send new requests after the node
        was requested to stop.
    flush_s : float
        Seconds before the drain deadline at which all open requests are
        answered, so that these answers can leave the socket buffers.
    """

    linger_s: float = 0
    flush_s: float = 1
