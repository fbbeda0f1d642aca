"""Links whose sockets are full."""

import math

from medlarquay import ids

__all__ = ('FullSockets',)

# With an unknown rate this bounds what waits in the machine before its link:
# the socket buffers of so many links.
_MAX_FULL = 4
# A socket that is full for longer says nothing about the link of the machine:
# its peer does not read, or is cut off.
_STALLED_S = 1


class FullSockets:
    """Links whose sockets did not take the last fragment yet."""

    def __init__(self) -> None:
        self._since: dict[ids.LinkId, float] = {}

    def __contains__(self, link: ids.LinkId) -> bool:
        """Tell whether the socket of a link is full."""
        return link in self._since

    def add(self, link: ids.LinkId, now: float) -> None:
        """Note that the socket of a link is full."""
        self._since[link] = now

    def discard(self, link: ids.LinkId) -> None:
        """Note that the socket of a link has drained or is closed."""
        self._since.pop(link, None)

    def is_stalled(self, link: ids.LinkId, now: float) -> bool:
        """Tell whether the peer of a link does not read."""
        return self._since.get(link, now) + _STALLED_S <= now

    def blocked_until(self, now: float) -> float:
        """Return when another link may be used; the past if it may be now."""
        recent = sorted(
            since for since in self._since.values() if since + _STALLED_S > now
        )
        if len(recent) < _MAX_FULL:
            return -math.inf
        return recent[-_MAX_FULL] + _STALLED_S
