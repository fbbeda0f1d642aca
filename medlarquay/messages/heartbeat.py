"""Answer to a probe."""

import dataclasses

from medlarquay import ids

__all__ = ('Heartbeat',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Answer to a probe.

    Attributes
    ----------
    nonce : int
        Nonce of the probe.
    age_ms : int | None
        Milliseconds since the source last confirmed the data; None if never.
    tree_revision : ids.Revision
        Tree revision that the sender holds.
    list_revision : ids.Revision
        List revision that the sender holds.
    digest : ids.Digest
        Digest over all of the sender's records.
    """

    nonce: int
    age_ms: int | None
    tree_revision: ids.Revision
    list_revision: ids.Revision
    digest: ids.Digest
