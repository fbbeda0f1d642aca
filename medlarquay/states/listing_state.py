"""What a node knows of the entry of its own backend server."""

import enum

__all__ = ('ListingState',)


class ListingState(enum.Enum):
    """What a node knows of the entry of its own backend server."""

    #: No entry was seen yet, or the backend server leaves.
    ABSENT = 'absent'
    LISTED = 'listed'
    #: The entry is gone, and the source is being asked about it.
    CHECKING = 'checking'
    #: The entry is gone, but the source cannot be asked.
    CUT_OFF = 'cut_off'
