"""Send nothing for now."""

import dataclasses

__all__ = ('Wait',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Send nothing for now.

    Attributes
    ----------
    until : float
        When to decide again at the latest, seconds on the monotonic clock;
        infinite if only an event can change the decision.
    """

    until: float
