"""The link of a machine, as the relay emulates it."""

from medlarquay.testing import link_conditions, pipe

__all__ = ('SharedLink',)

_BITS_PER_BYTE = 8
_BITS_PER_MBIT = 1e6
_MS_PER_SECOND = 1000


class SharedLink:
    """Gives each part of what a machine sends its time, first in first out.

    Parameters
    ----------
    conditions : LinkConditions
        Initial conditions.
    """

    def __init__(self, *, conditions: link_conditions.LinkConditions) -> None:
        self.conditions = conditions
        self.pipes: set[pipe.Pipe] = set()
        self._free_at: float = 0

    def change(self, conditions: link_conditions.LinkConditions) -> None:
        """Set conditions; what was held is delivered."""
        self.conditions = conditions
        for found in tuple(self.pipes):
            found.deliver()

    def held(self, *, outgoing: bool) -> bool:
        """Return whether nothing arrives in a direction."""
        if outgoing:
            return self.conditions.hold_out
        return self.conditions.hold_in

    def arrival(self, *, now: float, length: int, outgoing: bool) -> float:
        """Return when a part arrives that is sent now.

        Parameters
        ----------
        now : float
            Time in seconds.
        length : int
            Bytes of the part.
        outgoing : bool
            Whether the machine sends the part; only then it uses the rate.
        """
        left_at = now
        if outgoing:
            bytes_per_s = self.conditions.mbps * _BITS_PER_MBIT / _BITS_PER_BYTE
            left_at = max(now, self._free_at) + length / bytes_per_s
            self._free_at = left_at
        return left_at + self.conditions.delay_ms / _MS_PER_SECOND
