"""Incremental update of the instance list."""

from collections.abc import Iterable

from medlarquay import ids, replica
from medlarquay.snapshots import instance_list, service_key

__all__ = ('change_instance_list',)

_Group = dict[ids.InstanceId, replica.InstanceRecord]
_Groups = dict[service_key.ServiceKey, _Group]


def change_instance_list(
    current: instance_list.InstanceList,
    *,
    changed: Iterable[replica.InstanceRecord],
    removed: Iterable[ids.InstanceId],
) -> instance_list.InstanceList:
    """Apply changed and removed instances to an instance list.

    The tuples of services that the change does not affect are reused.

    Parameters
    ----------
    current : InstanceList
        Instance list before the change; not modified.
    changed : iterable of InstanceRecord
        New and changed records; a tombstone removes its instance.
    removed : iterable of InstanceId
        Instances to remove.
    """
    by_instance = dict(current.by_instance)
    groups: _Groups = {}
    for instance in removed:
        removed_record = by_instance.pop(instance, None)
        if removed_record is not None:
            _mutable_group(removed_record, current, groups).pop(instance)
    for record in changed:
        earlier_record = by_instance.pop(record.instance, None)
        if earlier_record is not None:
            _mutable_group(earlier_record, current, groups).pop(record.instance)
        if not record.deleted:
            by_instance[record.instance] = record
            _mutable_group(record, current, groups)[record.instance] = record
    return instance_list.InstanceList(
        by_instance=by_instance,
        by_service=_updated_by_service(current, groups),
    )


def _mutable_group(
    record: replica.InstanceRecord,
    current: instance_list.InstanceList,
    groups: _Groups,
) -> _Group:
    key = (record.team, record.service)
    if key not in groups:
        groups[key] = {
            member.instance: member
            for member in current.by_service.get(key, ())
        }
    return groups[key]


def _updated_by_service(
    current: instance_list.InstanceList,
    groups: _Groups,
) -> dict[service_key.ServiceKey, tuple[replica.InstanceRecord, ...]]:
    by_service = dict(current.by_service)
    for key, group in groups.items():
        if group:
            by_service[key] = tuple(group[name] for name in sorted(group))
        else:
            by_service.pop(key, None)
    return by_service
