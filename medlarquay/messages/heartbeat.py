"""Answer to a probe."""

import dataclasses

from medlarquay import ids, replica

__all__ = ('Heartbeat',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Answer to a probe.

    Attributes
    ----------
    nonce : int
        Nonce of the probe that this answers.
    age_ms : int | None
        Milliseconds since the source last confirmed the sender's records; None
        if it never did.
    list_age_ms : int | None
        The same for the instance list alone.
    vector : replica.VersionVector
        Revisions up to which the sender holds every record.
    digest : ids.Digest
        Digest over all of the sender's records.
    """

    nonce: int
    age_ms: int | None
    list_age_ms: int | None
    vector: replica.VersionVector
    digest: ids.Digest
