"""Where a change of the configuration came from."""

import enum

__all__ = ('ChangeOrigin',)


class ChangeOrigin(enum.Enum):
    """Where a change of the configuration came from."""

    SOURCE = 'source'
    # Removals that arrived earlier and were held back until now.
    HELD = 'held'
    PEER = 'peer'
