"""Whether callers of this node may use its backend server unlisted."""

import dataclasses

from medlarquay import replica

__all__ = ('LocalBackendKept',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocalBackendKept:
    """Whether callers of this node may use its backend server unlisted.

    Attributes
    ----------
    record : replica.InstanceRecord or None
        Last entry of the backend server; None if it may no longer be used
        unless it is listed.
    """

    record: replica.InstanceRecord | None
