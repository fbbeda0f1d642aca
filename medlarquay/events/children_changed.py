"""The number of children that follow the node changed."""

import dataclasses

__all__ = ('ChildrenChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChildrenChanged:
    """The number of children that follow the node changed.

    Attributes
    ----------
    count : int
        Number of subscribed children.
    """

    count: int
