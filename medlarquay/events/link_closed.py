"""A link from another node was closed."""

import dataclasses

from medlarquay import ids

__all__ = ('LinkClosed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkClosed:
    """A link from another node was closed.

    Attributes
    ----------
    link : ids.LinkId
        Closed link.
    """

    link: ids.LinkId
