"""Unit conversion factors for settings."""

from typing import Final

__all__ = ('BYTES_PER_MEGABIT',)

#: Bytes per decimal megabit (10**6 bits).
BYTES_PER_MEGABIT: Final = 125_000
