"""What a fragment of a large frame means for its stream."""

import enum

__all__ = ('FragmentKind',)


class FragmentKind(enum.Enum):
    """What a fragment of a large frame means for its stream.

    The values are part of the wire format.
    """

    PART = 0
    LAST = 1
    #: The sender dropped the frame; the receiver discards its fragments.
    ABORT = 2
