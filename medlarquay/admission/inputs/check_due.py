"""Event: queued requests are due for a check of their deadlines."""

import dataclasses

__all__ = ('CheckDue',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckDue:
    """Event: queued requests are due for a check of their deadlines."""
