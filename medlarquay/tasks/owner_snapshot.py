"""What the owner takes from a new snapshot."""

from medlarquay import (
    admission,
    ids,
    ledger,
    pacing,
    quarantine,
    replica,
    snapshots,
    states,
)
from medlarquay.tasks import (
    local_instance,
    owner_base,
    owner_results,
    owner_starts,
)

__all__ = ('follow',)

_MS_PER_SECOND = 1000


def follow(
    snapshot: snapshots.Snapshot,
    owner: owner_base.OwnerBase,
) -> None:
    """Take limits, peers and the history of endpoints from a snapshot."""
    own = _find_own(snapshot, owner.hello.instance)
    if own is not None:
        _follow_own(own, snapshot.services[own.team, own.service], owner)
    local = owner.local_instance
    if local is None:
        return
    service = snapshot.services.get((local.team, local.service))
    backends = () if service is None else service.backends
    listed = frozenset(record.instance for record in backends)
    replaced = ledger.EndpointsReplaced(instances=listed)
    owner_results.tell_ledger(replaced, owner)


def _find_own(
    snapshot: snapshots.Snapshot,
    instance: ids.InstanceId,
) -> replica.InstanceRecord | None:
    found = None
    for service in snapshot.services.values():
        for record in service.backends:
            if record.node_name == instance and _replaces(record, found):
                found = record
    return found


def _replaces(
    record: replica.InstanceRecord,
    found: replica.InstanceRecord | None,
) -> bool:
    # The entry of an earlier run of the backend server may still be listed.
    if found is None:
        return True
    return (_is_live(record), record.revision) > (
        _is_live(found),
        found.revision,
    )


def _is_live(record: replica.InstanceRecord) -> bool:
    return record.state is states.InstanceState.LIVE


def _follow_own(
    own: replica.InstanceRecord,
    service: snapshots.Service,
    owner: owner_base.OwnerBase,
) -> None:
    first = (
        owner.local_instance is None
        or owner.local_instance.instance != own.instance
    )
    owner.local_instance = local_instance.LocalInstance(
        instance=own.instance,
        team=own.team,
        service=own.service,
        peers=tuple(
            record
            for record in service.backends
            if record.node_name != own.node_name
        ),
    )
    parameters = service.parameters
    limits = admission.Limits(
        slots=own.slots,
        floors=dict(parameters.floors),
        queue_limit=parameters.queue_limit,
        exclusive=owner.local_backend.exclusive,
        cold_start=parameters.cold_start_ms / _MS_PER_SECOND,
        link_bytes_per_s=owner.local_backend.link_bytes_per_s
        * pacing.PACED_SHARE,
    )
    owner_starts.tell_admission(admission.LimitsChanged(limits=limits), owner)
    if first:
        # The node starts with its backend server, which is cold then.
        owner_starts.tell_admission(admission.BackendStarted(), owner)
    if owner.quarantine.service != own.service:
        owner.quarantine = quarantine.Quarantine(service=own.service)
    owner.follow_state(own.state)
