"""Bytes of control messages by the region of the peer."""

import collections
from collections.abc import Mapping

from medlarquay import ids

__all__ = ('LinkBytes',)


class LinkBytes:
    """Counts the bytes of control messages by the region of the peer.

    Notes
    -----
    The length of the encoded message is counted, without the headers of
    WebSocket (2 to 10 bytes a frame) and TCP.
    """

    def __init__(self) -> None:
        self._sent: collections.Counter[ids.RegionName] = collections.Counter()
        self._received: collections.Counter[ids.RegionName] = (
            collections.Counter()
        )

    @property
    def sent(self) -> Mapping[ids.RegionName, int]:
        """Bytes sent by region of the peer; empty name while unknown."""
        return self._sent

    @property
    def received(self) -> Mapping[ids.RegionName, int]:
        """Bytes received by region of the peer."""
        return self._received

    def count_sent(self, region: ids.RegionName, length: int) -> None:
        """Count one message sent."""
        self._sent[region] += length

    def count_received(self, region: ids.RegionName, length: int) -> None:
        """Count one message received."""
        self._received[region] += length
