"""Admin pages that ``medlarquay show`` can print."""

import enum

__all__ = ('ShowTopic',)


class ShowTopic(enum.Enum):
    """What ``medlarquay show`` can show; the value is the page."""

    VERSION = 'version'
    REJECTED = 'rejected'
    ROUTES = 'routes'
    MEMBERS = 'members'
    COUNTERS = 'counters'
    RECORDS = 'records'
