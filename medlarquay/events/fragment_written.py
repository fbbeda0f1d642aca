"""A fragment was written to its link."""

import dataclasses

from medlarquay import ids

__all__ = ('FragmentWritten',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FragmentWritten:
    """A fragment was written to its link.

    Attributes
    ----------
    link : ids.LinkId
        Link of the fragment.
    socket_full : bool
        Whether the socket has not accepted all of its bytes yet.
    """

    link: ids.LinkId
    socket_full: bool
