"""The node entered another state of its lifecycle."""

import dataclasses

from medlarquay import states

__all__ = ('LifecycleChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LifecycleChanged:
    """The node entered another state of its lifecycle.

    Attributes
    ----------
    state : states.NodeState
        New state.
    """

    state: states.NodeState
