"""Fields of a service in a team document."""

import enum

__all__ = ('ServiceField',)


class ServiceField(enum.Enum):
    """Fields of a service in a team's document."""

    FLOORS = 'floors'
    QUEUE_LIMIT = 'queue_limit'
    COLD_START_MS = 'cold_start_ms'
