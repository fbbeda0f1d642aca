"""Why an offered record or answer did not change the replica."""

import enum

__all__ = ('ReplicaEvent',)


class ReplicaEvent(enum.Enum):
    """Why an offered record or answer did not change the replica."""

    SOURCE_STALE = 'source_stale'
    RECORD_STALE = 'record_stale'
    RECORD_INVALID = 'record_invalid'
    REVISION_CONFLICT = 'revision_conflict'
    DOCUMENT_REJECTED = 'document_rejected'
    DIGEST_MISMATCH = 'digest_mismatch'
    DELTA_GAP = 'delta_gap'
    BASE_DIFFERS = 'base_differs'
