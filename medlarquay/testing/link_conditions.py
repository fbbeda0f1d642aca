"""Conditions of the link of one machine."""

import dataclasses

__all__ = ('LinkConditions',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkConditions:
    """Conditions of the link of one machine.

    Attributes
    ----------
    mbps : float
        What all connections of the machine together send, in Mbit/s.
    delay_ms : float
        Time on the way, in each direction.
    hold_out : bool
        Whether nothing that the machine sends arrives; it is delivered
        later, as TCP repeats what was lost.
    hold_in : bool
        Whether nothing arrives at the machine.
    """

    mbps: float = float('inf')
    delay_ms: float = 0
    hold_out: bool = False
    hold_in: bool = False
