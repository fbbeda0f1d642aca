"""Priority class of a request."""

import enum

__all__ = ('Rank',)


class Rank(enum.Enum):
    """Priority class of a request."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    BULK = 'bulk'

    # Admission looks up ranks in dictionaries many times per call. The hash of
    # ``Enum`` is a Python function and took a tenth of the time of admission.
    __hash__ = object.__hash__

    def at_or_above(self) -> tuple['Rank', ...]:
        """Return this rank and all more urgent ones, the most urgent first."""
        order = tuple(Rank)
        return order[: order.index(self) + 1]
