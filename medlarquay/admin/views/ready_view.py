"""Readiness of the node to take calls."""

import dataclasses

__all__ = ('ReadyView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadyView:
    """Readiness of the node to take calls.

    Attributes
    ----------
    ready : bool
        Whether the node is serving and has a configuration.
    state : str
        Lifecycle state.
    """

    ready: bool
    state: str
