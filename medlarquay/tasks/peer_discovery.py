"""Search for other nodes in the source."""

from typing import Protocol

__all__ = ('PeerDiscovery',)


class PeerDiscovery(Protocol):
    """Search for other nodes in the source."""

    async def discover(self) -> bytes:
        """Return entries of the instance list, possibly old ones.

        Returns
        -------
        bytes
            Answer in the format of the source (JSON), of one cheap call. It
            may lack entries, and those that it has may be seconds old.
        """
