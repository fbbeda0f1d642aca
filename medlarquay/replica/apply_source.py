"""Application of answers of the source to a replica."""

from medlarquay import ids, states
from medlarquay.replica import (
    acceptance,
    apply_result,
    documents,
    instance_record,
    replica,
    source_tree,
    source_value,
    version_vector,
)

__all__ = ('apply_source',)


def apply_source(
    held: replica.Replica,
    *,
    tree: source_tree.SourceTree,
    after: ids.Revision,
    revision: ids.Revision,
    entries: tuple[source_value.SourceValue, ...],
    whole: bool = False,
) -> apply_result.ApplyResult:
    """Apply an answer of the source for one tree.

    Parameters
    ----------
    held : Replica
        Replica to change.
    tree : SourceTree
        Tree that was read.
    after : Revision
        The read asked for entries newer than this revision.
    revision : Revision
        Highest revision of the tree at the source.
    entries : tuple of SourceValue
        Entries of the answer.
    whole : bool
        Whether the answer lists the whole tree, so that an instance missing
        from it has been removed.

    Returns
    -------
    ApplyResult
        What was changed. An answer older than the replica changes nothing
        and adds the event ``SOURCE_STALE``.
    """
    result = apply_result.ApplyResult()
    reached = _vector_at(held, tree, revision)
    if revision < _held_revision(held, tree):
        result.add_event(states.ReplicaEvent.SOURCE_STALE)
        return result
    for entry in entries:
        if tree is source_tree.SourceTree.TEAMS:
            _join_document(held, entry, result)
        else:
            _join_instance(held, entry, result)
    if whole and tree is source_tree.SourceTree.INSTANCES:
        _remove_unlisted(held, revision, entries, result)
    if whole or after <= _held_revision(held, tree):
        held.raise_vector(reached, result)
    else:
        result.add_event(states.ReplicaEvent.DELTA_GAP)
    return result


def _remove_unlisted(
    held: replica.Replica,
    revision: ids.Revision,
    entries: tuple[source_value.SourceValue, ...],
    result: apply_result.ApplyResult,
) -> None:
    listed = {entry.key for entry in entries}
    for record in held.instances:
        if record.instance not in listed and record.revision <= revision:
            held.join_instance(
                instance_record.tombstone(
                    instance=record.instance,
                    revision=revision,
                ),
                result,
            )


def _held_revision(
    held: replica.Replica,
    tree: source_tree.SourceTree,
) -> ids.Revision:
    if tree is source_tree.SourceTree.TEAMS:
        return held.vector.tree_revision
    return held.vector.list_revision


def _vector_at(
    held: replica.Replica,
    tree: source_tree.SourceTree,
    revision: ids.Revision,
) -> version_vector.VersionVector:
    if tree is source_tree.SourceTree.TEAMS:
        return version_vector.VersionVector(tree_revision=revision)
    return version_vector.VersionVector(list_revision=revision)


def _join_document(
    held: replica.Replica,
    entry: source_value.SourceValue,
    result: apply_result.ApplyResult,
) -> None:
    record = acceptance.build_team_record(
        team=ids.TeamName(entry.key),
        revision=entry.revision,
        content=entry.content,
    )
    held.join_team(record, result)


def _join_instance(
    held: replica.Replica,
    entry: source_value.SourceValue,
    result: apply_result.ApplyResult,
) -> None:
    if entry.content is None:
        record = instance_record.tombstone(
            instance=ids.InstanceId(entry.key),
            revision=entry.revision,
        )
    else:
        try:
            record = documents.parse_instance(
                content=entry.content,
                revision=entry.revision,
            )
        except (KeyError, TypeError, ValueError) as failure:
            # A malformed entry must not block those of other instances.
            result.add_event(
                states.ReplicaEvent.DOCUMENT_REJECTED,
                f'instances/{entry.key}@{entry.revision}: {failure!r}',
            )
            return
    held.join_instance(record, result)
