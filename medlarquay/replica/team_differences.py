"""Records told by what differs from earlier ones, and back."""

from medlarquay.replica import (
    acceptance,
    content_difference,
    documents,
    team_difference,
    team_record,
)

__all__ = ('difference_of', 'record_from')

# A difference that is not far shorter saves nothing: it takes the receiver
# longer to apply.
_SHORTER_BY = 2


def difference_of(
    base: team_record.TeamRecord,
    record: team_record.TeamRecord,
) -> team_difference.TeamDifference | None:
    """Return what differs; None if the whole record is the better message."""
    if not base.content or not record.content:
        return None
    edits = content_difference.find_edits(base.content, record.content)
    inserted = sum(len(edit.inserted) for edit in edits)
    if inserted * _SHORTER_BY > len(record.content):
        return None
    return team_difference.TeamDifference(
        team=record.team,
        revision=record.revision,
        digest=record.digest,
        accepted_revision=record.accepted_revision,
        base=acceptance.digest_of_accepted(base),
        accepted_digest=acceptance.digest_of_accepted(record),
        edits=edits,
        rejection=record.rejection,
    )


def record_from(
    held: team_record.TeamRecord | None,
    offered: team_difference.TeamDifference,
) -> team_record.TeamRecord | None:
    """Return the record that a difference stands for.

    None means that it starts from another document than the one held, or
    that it does not build the document that it promises; then nothing of it
    can be used.
    """
    if held is None or not held.content:
        return None
    if acceptance.digest_of_accepted(held) != offered.base:
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
