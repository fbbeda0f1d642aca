"""Application of a new snapshot to the owner."""

from medlarquay import (
    admission,
    events,
    ledger,
    pacing,
    quarantine,
    replica,
    snapshots,
)
from medlarquay.tasks import (
    local_instance,
    local_record,
    owner_base,
    owner_greeting,
    owner_leaving,
    owner_results,
    owner_starts,
)

__all__ = ('apply_removed', 'apply_snapshot')

_MS_PER_SECOND = 1000


def apply_snapshot(
    snapshot: snapshots.Snapshot,
    owner: owner_base.OwnerBase,
) -> None:
    """Apply limits and peers of a snapshot, and its endpoints in the ledger."""
    record = local_record.find_local_record(snapshot, owner.hello.instance)
    if record is None:
        _note_unlisted(owner)
    else:
        _apply_local_record(record, snapshot, owner)
    local = owner.local_instance
    if local is None:
        return
    service = snapshot.services.get((local.team, local.service))
    backends = () if service is None else snapshot.backends(service)
    listed = frozenset(backend.instance for backend in backends)
    replaced = ledger.BackendsReplaced(instances=listed)
    owner_results.apply_ledger_event(replaced, owner)


def apply_removed(
    message: events.LocalBackendRemoved,
    owner: owner_base.OwnerBase,
) -> None:
    """Drain because the source no longer lists the backend server."""
    local = owner.local_instance
    if local is None or local.instance != message.instance:
        return
    if owner.departure.unlisted_since is not None:
        owner_leaving.leave(owner.departure.unlisted_since, owner)


def _note_unlisted(owner: owner_base.OwnerBase) -> None:
    # Whether the backend server has left, or its heartbeats did not reach the
    # source, only the source can tell.
    departure = owner.departure
    if departure.unlisted_since is None:
        departure.unlisted_since = departure.list_confirmed_at


def _is_other_service(
    record: replica.InstanceRecord,
    owner: owner_base.OwnerBase,
) -> bool:
    local = owner.local_instance
    if local is None:
        return False
    return (record.team, record.service) != (
        local.team,
        local.service,
    )


def _apply_local_record(
    record: replica.InstanceRecord,
    snapshot: snapshots.Snapshot,
    owner: owner_base.OwnerBase,
) -> None:
    service = snapshot.services[record.team, record.service]
    if _is_other_service(record, owner):
        owner_leaving.refuse_waiting(owner)
    is_new_run = (
        owner.local_instance is None
        or owner.local_instance.instance != record.instance
    )
    owner.local_instance = local_instance.LocalInstance(
        instance=record.instance,
        team=record.team,
        service=record.service,
        peers=tuple(
            peer
            for peer in snapshot.backends(service)
            if peer.node_name != record.node_name
        ),
    )
    parameters = service.parameters
    limits = admission.Limits(
        slots=record.slots,
        floors=dict(parameters.floors),
        queue_limit=parameters.queue_limit,
        exclusive=owner.local_backend.exclusive,
        cold_start=parameters.cold_start_ms / _MS_PER_SECOND,
        link_bytes_per_s=owner.local_backend.link_bytes_per_s
        * pacing.PACED_SHARE,
    )
    owner_starts.apply_admission_event(
        admission.LimitsChanged(limits=limits), owner
    )
    if is_new_run:
        # The backend server has started together with the node, or has just
        # been replaced, so it is cold.
        owner_starts.apply_admission_event(admission.BackendStarted(), owner)
    if owner.quarantine.service != record.service:
        owner.quarantine = quarantine.Quarantine(service=record.service)
        owner_greeting.greet_peers(owner)
    owner_leaving.apply_listed(record, owner)
