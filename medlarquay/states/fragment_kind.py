"""What a fragment of a large frame means for its stream."""

import enum

__all__ = ('FragmentKind',)


class FragmentKind(enum.Enum):
    """What a fragment of a large frame means for its stream.

    The values are those on the wire.
    """

    PART = 0
    LAST = 1
    #: The frame was dropped by its sender; what arrived of it is discarded.
    ABORT = 2
