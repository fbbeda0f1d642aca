"""Fields of a route in a team document."""

import enum

__all__ = ('RouteField',)


class RouteField(enum.Enum):
    """Fields of a route in a team's document."""

    HOST = 'host'
    PATH_PREFIX = 'path_prefix'
    SERVICE = 'service'
    RANK = 'rank'
    TIMEOUT_MS = 'timeout_ms'
    IDEMPOTENT_METHODS = 'idempotent_methods'
    SPLIT = 'split'
    ATTEMPTS = 'attempts'
    TARGET_MS = 'target_ms'
