"""Entry of the backend server beside a node."""

from medlarquay import ids, replica, snapshots, states

__all__ = ('find_local_record',)


def find_local_record(
    snapshot: snapshots.Snapshot,
    node: ids.InstanceId,
) -> replica.InstanceRecord | None:
    """Return the entry of the backend server beside a node, if listed.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot in force.
    node : InstanceId
        Name in the greeting of the node.
    """
    best = None
    for service in snapshot.services.values():
        for record in snapshot.backends(service):
            if record.node_name == node and _supersedes(record, best):
                best = record
    return best


def _supersedes(
    record: replica.InstanceRecord,
    best: replica.InstanceRecord | None,
) -> bool:
    # The record of an earlier run of the backend server may still be listed.
    if best is None:
        return True
    return (_is_live(record), record.revision) > (
        _is_live(best),
        best.revision,
    )


def _is_live(record: replica.InstanceRecord) -> bool:
    return record.state is states.InstanceState.LIVE
