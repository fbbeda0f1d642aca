"""The request of a key did not run."""

import dataclasses

from medlarquay import ids

__all__ = ('KeyReleased',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyReleased:
    """The request of a key did not run: it was not sent or was refused.

    Attributes
    ----------
    key : RequestKey
        Key; a later attempt may run.
    """

    key: ids.RequestKey
