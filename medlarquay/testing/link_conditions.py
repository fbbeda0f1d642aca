"""Bandwidth, delay and outages of the link of one machine."""

import dataclasses

__all__ = ('LinkConditions',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkConditions:
    """Bandwidth, delay and outages of the link of one machine.

    Attributes
    ----------
    mbps : float
        Bandwidth in Mbit/s that all connections of the machine share for
        sending.
    delay_ms : float
        One-way delay in milliseconds, for each direction.
    hold_out : bool
        Whether bytes that the machine sends are held back. They are
        delivered later, as TCP retransmits lost segments.
    hold_in : bool
        Whether bytes sent to the machine are held back.
    """

    mbps: float = float('inf')
    delay_ms: float = 0
    hold_out: bool = False
    hold_in: bool = False
