"""Where a change of the configuration came from."""

import enum

__all__ = ('ChangeOrigin',)


class ChangeOrigin(enum.Enum):
    """Where a change of the configuration came from."""

    SOURCE = 'source'
    # Removals that were known before but not acted on.
    HELD = 'held'
    PEER = 'peer'
