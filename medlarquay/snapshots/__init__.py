"""Snapshots of the configuration: routes, services and backend servers."""

from medlarquay.snapshots.apply import apply_change
from medlarquay.snapshots.build import build_snapshot
from medlarquay.snapshots.instance_list import InstanceList
from medlarquay.snapshots.match import match_route
from medlarquay.snapshots.route import Route
from medlarquay.snapshots.service import Service
from medlarquay.snapshots.service_key import ServiceKey
from medlarquay.snapshots.snapshot import Snapshot
from medlarquay.snapshots.snapshot_change import SnapshotChange

__all__ = (
    'InstanceList',
    'Route',
    'Service',
    'ServiceKey',
    'Snapshot',
    'SnapshotChange',
    'apply_change',
    'build_snapshot',
    'match_route',
)
