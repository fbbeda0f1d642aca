"""Whole-or-nothing acceptance of one team's document."""

import dataclasses

from medlarquay import ids, settings
from medlarquay.replica import documents, team_record

__all__ = (
    'check_record',
    'digest_of_accepted',
    'document_of',
    'build_team_record',
)

# Stands for a deleted document; no content has it as its SHA-256.
_DELETED_DIGEST = ids.Digest(bytes(32))

_MAX_REASON = 1024

# A document is checked when it arrives and used right after that; a platform
# with one document for all changes it often.
_PARSER = settings.DocumentParser(teams=2)


def build_team_record(
    *,
    team: ids.TeamName,
    revision: ids.Revision,
    content: bytes | None,
) -> team_record.TeamRecord:
    """Return the record of one value of the source; None means deleted.

    A document that breaks a rule gives a record with the reason and without
    an accepted document; its join with the record held keeps the last
    accepted document.
    """
    if content is None:
        return team_record.TeamRecord(
            team=team,
            revision=revision,
            digest=_DELETED_DIGEST,
            accepted_revision=revision,
            content=b'',
        )
    rejection = _find_fault(team, content)
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
    """Return a peer's record after validating its document like the source's.

    A document that breaks a rule is dropped from the record, so a faulty
    peer cannot bring it into force. None means that the record contradicts
    itself and nothing of it can be used.
    """
    if not _is_consistent(offered):
        return None
    fault = ''
    if offered.content:
        fault = _find_fault(offered.team, offered.content)
    if not fault:
        return offered
    return dataclasses.replace(
        offered,
        accepted_revision=ids.Revision(0),
        content=b'',
        rejection=offered.rejection or fault,
    )


def digest_of_accepted(record: team_record.TeamRecord) -> ids.Digest:
    """Return the digest of the accepted document or of its deletion."""
    if record.content:
        return documents.digest_of(record.content)
    return _DELETED_DIGEST


def document_of(
    record: team_record.TeamRecord,
) -> settings.TeamDocument | None:
    """Return the accepted document; None if there is none."""
    if not record.content:
        return None
    return _PARSER.parse(team=record.team, content=record.content)


def _is_consistent(record: team_record.TeamRecord) -> bool:
    if record.accepted_revision > record.revision:
        return False
    if record.accepted_revision < record.revision:
        return bool(record.rejection)
    return not record.rejection and digest_of_accepted(record) == record.digest


def _find_fault(team: ids.TeamName, content: bytes) -> str:
    try:
        _PARSER.parse(team=team, content=content)
    except Exception as failure:
        # Any failure of the validation rejects this document only; raising
        # would also hold back the documents of other teams.
        reason = str(failure) or type(failure).__name__
        return reason[:_MAX_REASON]
    return ''
