"""Parts of a node that finish their work while draining."""

import enum

__all__ = ('NodePart',)


class NodePart(enum.Enum):
    """Parts of a node that finish their work while draining.

    The owner and the router have requests in progress; callers and links hold
    bytes that were written but not yet sent.
    """

    OWNER = 'owner'
    ROUTER = 'router'
    CALLERS = 'callers'
    LINKS = 'links'
