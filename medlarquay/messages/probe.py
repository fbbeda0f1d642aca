"""Request for a parent's heartbeat, which tells how fresh its records are."""

import dataclasses

__all__ = ('Probe',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """Request for a parent's heartbeat, which tells how fresh its records are.

    Attributes
    ----------
    nonce : int
        Number that the heartbeat repeats.
    """

    nonce: int
