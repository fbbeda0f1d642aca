"""Top-level fields of a team document."""

import enum

__all__ = ('DocumentField',)


class DocumentField(enum.Enum):
    """Fields of a team's document."""

    SERVICES = 'services'
    ROUTES = 'routes'
