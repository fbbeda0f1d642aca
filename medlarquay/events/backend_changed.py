"""The local backend server went down or came back."""

import dataclasses

from medlarquay import states

__all__ = ('BackendChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendChanged:
    """The local backend server went down or came back.

    Attributes
    ----------
    state : states.BackendState
        New state.
    """

    state: states.BackendState
