"""Decision to delay a suspect until no other suspect runs."""

import dataclasses

__all__ = ('Hold',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """Decision to delay a suspect until no other suspect runs."""
