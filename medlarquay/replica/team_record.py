"""Accepted document and newest revision seen of one team."""

import dataclasses

from medlarquay import ids

__all__ = ('TeamRecord',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamRecord:
    """Accepted document and newest revision seen of one team.

    Attributes
    ----------
    team : ids.TeamName
        Team.
    revision : ids.Revision
        Newest revision seen, accepted or rejected.
    digest : ids.Digest
        Digest of the content at the newest revision.
    accepted_revision : ids.Revision
        Revision of the accepted document; 0 if none.
    content : bytes
        Accepted document as published (JSON); empty if none or deleted.
    rejection : str
        Why the newest revision was rejected; empty if accepted.
    """

    team: ids.TeamName
    revision: ids.Revision
    digest: ids.Digest
    accepted_revision: ids.Revision
    content: bytes
    rejection: str = ''
