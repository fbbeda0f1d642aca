"""Links whose socket buffers are full."""

import math

from medlarquay import ids

__all__ = ('FullSockets',)

# While the rate of the machine's link is unknown, this number of full socket
# buffers bounds the bytes that wait before it.
_MAX_FULL = 4
# A socket that is full for longer does not indicate a busy link: its peer does
# not read, or is cut off.
_STALL_TIMEOUT_S = 1


class FullSockets:
    """Links whose sockets have not accepted the last fragment yet."""

    def __init__(self) -> None:
        self._full_since: dict[ids.LinkId, float] = {}

    def __contains__(self, link: ids.LinkId) -> bool:
        """Return whether the socket of a link is full."""
        return link in self._full_since

    def add(self, link: ids.LinkId, now: float) -> None:
        """Record that the socket of a link is full."""
        self._full_since[link] = now

    def discard(self, link: ids.LinkId) -> None:
        """Record that the socket of a link has drained or is closed."""
        self._full_since.pop(link, None)

    def is_stalled(self, link: ids.LinkId, now: float) -> bool:
        """Return whether the peer of a link seems not to read."""
        return self._full_since.get(link, now) + _STALL_TIMEOUT_S <= now

    def blocked_until(self, now: float) -> float:
        """Return until when no fragment may be sent on any link.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            Seconds on the monotonic clock, unless a socket drains earlier;
            negative infinity if a fragment may be sent now.
        """
        recent = sorted(
            since
            for since in self._full_since.values()
            if since + _STALL_TIMEOUT_S > now
        )
        if len(recent) < _MAX_FULL:
            return -math.inf
        return recent[-_MAX_FULL] + _STALL_TIMEOUT_S
