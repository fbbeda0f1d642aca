"""Validation of team documents, which are accepted whole or rejected."""

import dataclasses

from medlarquay import ids, settings
from medlarquay.replica import documents, team_record

__all__ = (
    'check_record',
    'accepted_digest',
    'accepted_document',
    'build_team_record',
)

# Digest of a deleted document; no content is known to have it as its SHA-256.
_DELETED_DIGEST = ids.Digest(bytes(32))

_MAX_REASON_CHARS = 1024

# A document is validated on arrival and used right after that, so the parser
# keeps the last documents of two teams. A platform that has one document for
# all teams changes it often.
_PARSER = settings.DocumentParser(cached_teams=2)


def build_team_record(
    *,
    team: ids.TeamName,
    revision: ids.Revision,
    content: bytes | None,
) -> team_record.TeamRecord:
    """Build the record of a team from a value of the source.

    An invalid document gives a record with the reason and without an accepted
    document. Its join with the previous record keeps the last accepted
    document.

    Parameters
    ----------
    team : ids.TeamName
        Team.
    revision : ids.Revision
        Revision of the value.
    content : bytes or None
        Document (JSON); None if it was deleted.

    Returns
    -------
    TeamRecord
        Record of this revision alone.
    """
    if content is None:
        return team_record.TeamRecord(
            team=team,
            revision=revision,
            digest=_DELETED_DIGEST,
            accepted_revision=revision,
            content=b'',
        )
    rejection = _find_problem(team, content)
    return team_record.TeamRecord(
        team=team,
        revision=revision,
        digest=documents.digest_of(content),
        accepted_revision=ids.Revision(0) if rejection else revision,
        content=b'' if rejection else content,
        rejection=rejection,
    )


def check_record(
    offered: team_record.TeamRecord,
) -> team_record.TeamRecord | None:
    """Validate a record from a peer in the same way as one from the source.

    An invalid document is removed from the record, so that a faulty peer
    cannot bring it into force.

    Returns
    -------
    TeamRecord or None
        Record that may be joined; None if its fields are inconsistent, so
        that no part of it can be used.
    """
    if not _is_consistent(offered):
        return None
    problem = ''
    if offered.content:
        problem = _find_problem(offered.team, offered.content)
    if not problem:
        return offered
    return dataclasses.replace(
        offered,
        accepted_revision=ids.Revision(0),
        content=b'',
        rejection=offered.rejection or problem,
    )


def accepted_digest(record: team_record.TeamRecord) -> ids.Digest:
    """Return the digest of the accepted document, or the one for deletion."""
    if record.content:
        return documents.digest_of(record.content)
    return _DELETED_DIGEST


def accepted_document(
    record: team_record.TeamRecord,
) -> settings.TeamDocument | None:
    """Parse the accepted document; return None if there is none."""
    if not record.content:
        return None
    return _PARSER.parse(team=record.team, content=record.content)


def _is_consistent(record: team_record.TeamRecord) -> bool:
    if record.accepted_revision > record.revision:
        return False
    if record.accepted_revision < record.revision:
        return bool(record.rejection)
    return not record.rejection and accepted_digest(record) == record.digest


def _find_problem(team: ids.TeamName, content: bytes) -> str:
    try:
        _PARSER.parse(team=team, content=content)
    except Exception as failure:
        # Any failure of the validation rejects this document only. An
        # exception would also delay the documents of other teams.
        reason = str(failure) or type(failure).__name__
        return reason[:_MAX_REASON_CHARS]
    return ''
