"""Decision to refuse a request because it is quarantined."""

import dataclasses

__all__ = ('Refuse',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Decision to refuse a request because it is quarantined."""
