"""Whether callers may be sent to the node."""

import dataclasses

__all__ = ('ReadyView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadyView:
    """Whether callers may be sent to the node.

    Attributes
    ----------
    ready : bool
        Whether the node serves with a configuration.
    state : str
        State of the lifecycle.
    """

    ready: bool
    state: str
