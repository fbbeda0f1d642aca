"""Conversion between team records and differences from earlier ones."""

from medlarquay.replica import (
    acceptance,
    content_difference,
    documents,
    team_difference,
    team_record,
)

__all__ = ('build_difference', 'apply_difference')

# A difference is sent only if the document is at least this many times as long
# as the inserted bytes. A longer one saves nothing, because the receiver takes
# longer to apply it.
_MIN_SIZE_RATIO = 2


def build_difference(
    base: team_record.TeamRecord,
    record: team_record.TeamRecord,
) -> team_difference.TeamDifference | None:
    """Encode a record as a difference; None if it is better sent whole."""
    if not base.content or not record.content:
        return None
    edits = content_difference.find_edits(base.content, record.content)
    inserted = sum(len(edit.inserted) for edit in edits)
    if inserted * _MIN_SIZE_RATIO > len(record.content):
        return None
    return team_difference.TeamDifference(
        team=record.team,
        revision=record.revision,
        digest=record.digest,
        accepted_revision=record.accepted_revision,
        base=acceptance.accepted_digest(base),
        accepted_digest=acceptance.accepted_digest(record),
        edits=edits,
        rejection=record.rejection,
    )


def apply_difference(
    held: team_record.TeamRecord | None,
    offered: team_difference.TeamDifference,
) -> team_record.TeamRecord | None:
    """Build the record that a difference encodes.

    Returns
    -------
    TeamRecord or None
        None if the base is not the accepted document held, or if the edits
        do not build a document with the stated digest; no part of the
        difference can be used then.
    """
    if held is None or not held.content:
        return None
    if acceptance.accepted_digest(held) != offered.base:
        return None
    content = content_difference.apply_edits(held.content, offered.edits)
    if not content or documents.digest_of(content) != offered.accepted_digest:
        return None
    return team_record.TeamRecord(
        team=offered.team,
        revision=offered.revision,
        digest=offered.digest,
        accepted_revision=offered.accepted_revision,
        content=content,
        rejection=offered.rejection,
    )
