"""The request may be sent."""

import dataclasses

__all__ = ('Permit',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Permit:
    """The request may be sent."""
