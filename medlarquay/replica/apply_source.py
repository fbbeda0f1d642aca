"""Application of an answer of the source to a replica."""

from medlarquay import ids, states
from medlarquay.replica import (
    acceptance,
    change,
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
) -> change.Change:
    """Apply the entries of one tree newer than the revision asked for.

    Parameters
    ----------
    held : Replica
        Replica to change.
    tree : SourceTree
        Tree that was read.
    after : Revision
        Entries newer than this revision were asked for.
    revision : Revision
        Highest revision of the tree at the source.
    entries : tuple of SourceValue
        Entries of the answer.
    whole : bool
        Whether the answer lists the whole tree, so that an instance that it
        does not name is gone.

    Returns
    -------
    Change
        A source that is behind the replica changes nothing and is noted.
    """
    found = change.Change()
    reached = _vector_of(held, tree, revision)
    if revision < _revision_of(held, tree):
        found.note(states.ReplicaEvent.SOURCE_STALE)
        return found
    for entry in entries:
        if tree is source_tree.SourceTree.TEAMS:
            _join_document(held, entry, found)
        else:
            _join_entry(held, entry, found)
    if whole and tree is source_tree.SourceTree.INSTANCES:
        _remove_unlisted(held, revision, entries, found)
    if whole or after <= _revision_of(held, tree):
        held.raise_vector(reached, found)
    else:
        found.note(states.ReplicaEvent.DELTA_GAP)
    return found


def _remove_unlisted(
    held: replica.Replica,
    revision: ids.Revision,
    entries: tuple[source_value.SourceValue, ...],
    found: change.Change,
) -> None:
    listed = {entry.key for entry in entries}
    for record in held.instances:
        if record.instance not in listed and record.revision <= revision:
            held.join_instance(
                instance_record.tombstone(
                    instance=record.instance,
                    revision=revision,
                ),
                found,
            )


def _revision_of(
    held: replica.Replica,
    tree: source_tree.SourceTree,
) -> ids.Revision:
    if tree is source_tree.SourceTree.TEAMS:
        return held.vector.tree_revision
    return held.vector.list_revision


def _vector_of(
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
    found: change.Change,
) -> None:
    record = acceptance.record_of(
        team=ids.TeamName(entry.key),
        revision=entry.revision,
        content=entry.content,
    )
    held.join_team(record, found)


def _join_entry(
    held: replica.Replica,
    entry: source_value.SourceValue,
    found: change.Change,
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
            # The entry of one instance must not hold back the others.
            found.note(
                states.ReplicaEvent.DOCUMENT_REJECTED,
                f'instances/{entry.key}@{entry.revision}: {failure!r}',
            )
            return
    held.join_instance(record, found)
