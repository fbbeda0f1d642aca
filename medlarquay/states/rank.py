"""Priority class of a request."""

import enum

__all__ = ('Rank',)


class Rank(enum.Enum):
    """Priority class of a request."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    BULK = 'bulk'

    # Admission looks ranks up in dictionaries many times for each call. The
    # hash of ``Enum`` is a Python function and took a tenth of that time.
    __hash__ = object.__hash__

    def at_or_above(self) -> tuple['Rank', ...]:
        """Return this rank and those that go before it, in order."""
        order = tuple(Rank)
        return order[: order.index(self) + 1]
