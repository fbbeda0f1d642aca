"""What waits for the link of the machine has changed."""

import dataclasses

__all__ = ('UplinkChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UplinkChanged:
    """What waits for the link of the machine has changed.

    Attributes
    ----------
    free_at : float
        When all that waits will have left at the pace of the link, seconds
        on the monotonic clock.
    """

    free_at: float
