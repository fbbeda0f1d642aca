"""Parts of a node that finish their work while draining."""

import enum

__all__ = ('NodePart',)


class NodePart(enum.Enum):
    """Parts of a node that finish their work while draining."""

    OWNER = 'owner'
    ROUTER = 'router'
