"""Decision to send a request to the backend server."""

import dataclasses

__all__ = ('Permit',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Permit:
    """Decision to send a request to the backend server."""
