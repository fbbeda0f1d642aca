"""The answers that wait for the link have changed."""

import dataclasses

__all__ = ('LinkChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkChanged:
    """The answers that wait for the link have changed.

    Attributes
    ----------
    free_at : float
        When all of them will have left, seconds on the monotonic clock.
    """

    free_at: float
