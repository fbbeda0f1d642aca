"""The socket of a link has taken what waited for it."""

import dataclasses

from medlarquay import ids

__all__ = ('SocketDrained',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SocketDrained:
    """The socket of a link has taken what waited for it.

    Attributes
    ----------
    link : ids.LinkId
        Link of the socket.
    """

    link: ids.LinkId
