"""Link of the machine of a replayed owner."""

import math

from medlarquay import messages

__all__ = ('ReplayLink',)


class ReplayLink:
    """Carries answers; small ones overtake the large ones that wait.

    Parameters
    ----------
    bytes_per_s : float
        What the link carries.
    """

    def __init__(self, *, bytes_per_s: float = math.inf) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at: float = 0

    def send(self, answer_bytes: int, now: float) -> float:
        """Return when an answer has left, in seconds from the start."""
        own = answer_bytes / self._bytes_per_s
        self._free_at = max(self._free_at, now) + own
        if answer_bytes < messages.LARGE_ANSWER_BYTES:
            return now + own
        return self._free_at
