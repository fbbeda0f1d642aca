"""The source became reachable or unreachable for this node."""

import dataclasses

__all__ = ('SourceChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceChanged:
    """The source became reachable or unreachable for this node.

    Attributes
    ----------
    reachable : bool
        Whether the last read succeeded.
    """

    reachable: bool
