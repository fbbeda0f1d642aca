"""The socket of a link has accepted all bytes that waited for it."""

import dataclasses

from medlarquay import ids

__all__ = ('SocketDrained',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SocketDrained:
    """The socket of a link has accepted all bytes that waited for it.

    Attributes
    ----------
    link : ids.LinkId
        Link of the socket.
    """

    link: ids.LinkId
