"""A request to a node's operators' port."""

import dataclasses

from medlarquay import addresses

__all__ = ('PageRequest',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PageRequest:
    """A request to a node's operators' port.

    Attributes
    ----------
    node : addresses.NodeAddress
        Operators' port of the node.
    page : str
        Page, such as ``routes``.
    parameters : tuple of pairs of str
        Query.
    """

    node: addresses.NodeAddress
    page: str
    parameters: tuple[tuple[str, str], ...] = ()
