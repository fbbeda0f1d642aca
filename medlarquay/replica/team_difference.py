"""Team record, encoded as the difference from an earlier one."""

import dataclasses

from medlarquay import ids
from medlarquay.replica import content_edit

__all__ = ('TeamDifference',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamDifference:
    """Team record, encoded as the difference from an earlier one.

    Attributes
    ----------
    team, revision, digest, accepted_revision, rejection
        As in ``TeamRecord``.
    base : ids.Digest
        Digest of the accepted document that the edits copy from.
    accepted_digest : ids.Digest
        Digest of the accepted document that the edits build.
    edits : tuple of ContentEdit
        Edits that build the accepted document.
    """

    team: ids.TeamName
    revision: ids.Revision
    digest: ids.Digest
    accepted_revision: ids.Revision
    base: ids.Digest
    accepted_digest: ids.Digest
    edits: tuple[content_edit.ContentEdit, ...]
    rejection: str = ''
