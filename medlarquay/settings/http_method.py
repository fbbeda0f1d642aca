"""HTTP methods that a route may list as idempotent."""

import enum

__all__ = ('HttpMethod',)


class HttpMethod(enum.Enum):
    """Methods that a route may list as idempotent."""

    GET = 'GET'
    HEAD = 'HEAD'
    OPTIONS = 'OPTIONS'
    PUT = 'PUT'
    DELETE = 'DELETE'
    POST = 'POST'
    PATCH = 'PATCH'
