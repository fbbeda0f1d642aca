"""Units of settings."""

from typing import Final

__all__ = ('BYTES_PER_MEGABIT',)

#: Bytes in a decimal megabit.
BYTES_PER_MEGABIT: Final = 125_000
