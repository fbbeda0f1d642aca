"""The request is quarantined."""

import dataclasses

__all__ = ('Refuse',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """The request is quarantined."""
