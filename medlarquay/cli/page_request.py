"""Request for an admin page of a node."""

import dataclasses

from medlarquay import addresses

__all__ = ('PageRequest',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PageRequest:
    """Request for an admin page of a node.

    Attributes
    ----------
    node : addresses.NodeAddress
        Admin address of the node.
    page : str
        Path of the page without the slash, such as ``routes``.
    parameters : tuple of pairs of str
        Names and values of the query parameters.
    """

    node: addresses.NodeAddress
    page: str
    parameters: tuple[tuple[str, str], ...] = ()
