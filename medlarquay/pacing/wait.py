"""Decision to send nothing for now."""

import dataclasses

__all__ = ('Wait',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Decision to send nothing for now.

    Attributes
    ----------
    until : float
        Latest time of the next decision, seconds on the monotonic clock;
        infinite if only an event can change it.
    """

    until: float
