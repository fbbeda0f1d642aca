"""The request of a key was not sent, or its run was refused."""

import dataclasses

from medlarquay import ids

__all__ = ('KeyReleased',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyReleased:
    """The request of a key was not sent, or its run was refused.

    Attributes
    ----------
    key : RequestKey
        Key; it is free again.
    """

    key: ids.RequestKey
