"""A child asks how fresh the data of its parent is."""

import dataclasses

__all__ = ('Probe',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """A child asks how fresh the data of its parent is.

    Attributes
    ----------
    nonce : int
        Echoed in the heartbeat.
    """

    nonce: int
