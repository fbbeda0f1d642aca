"""The request is a suspect and waits until no other suspect runs."""

import dataclasses

__all__ = ('Hold',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """The request is a suspect and waits until no other suspect runs."""
