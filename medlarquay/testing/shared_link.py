"""Emulated link of a machine behind the link relay."""

from medlarquay.testing import link_conditions, pipe

__all__ = ('SharedLink',)

_BITS_PER_BYTE = 8
_BITS_PER_MBIT = 1e6
_MS_PER_SECOND = 1000


class SharedLink:
    """Schedules the chunks of all connections of a machine in FIFO order.

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
        """Set the conditions and deliver chunks that are no longer held."""
        self.conditions = conditions
        for direction in tuple(self.pipes):
            direction.deliver()

    def is_held(self, *, outgoing: bool) -> bool:
        """Return whether chunks of a direction are held back."""
        if outgoing:
            return self.conditions.hold_out
        return self.conditions.hold_in

    def arrival_time(self, *, now: float, length: int, outgoing: bool) -> float:
        """Return when a chunk that is sent now arrives.

        An outgoing chunk reserves bandwidth of the link.

        Parameters
        ----------
        now : float
            Time in seconds.
        length : int
            Size of the chunk in bytes.
        outgoing : bool
            Whether the machine sends the chunk; received chunks do not use
            the bandwidth.

        Returns
        -------
        float
            Arrival time in seconds.
        """
        sent_at = now
        if outgoing:
            bytes_per_s = self.conditions.mbps * _BITS_PER_MBIT / _BITS_PER_BYTE
            sent_at = max(now, self._free_at) + length / bytes_per_s
            self._free_at = sent_at
        return sent_at + self.conditions.delay_ms / _MS_PER_SECOND
