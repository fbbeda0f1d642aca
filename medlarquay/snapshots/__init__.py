"""The configuration in force: routes, services and backend servers."""

from medlarquay.snapshots.build import build_snapshot
from medlarquay.snapshots.match import match_route
from medlarquay.snapshots.route import Route
from medlarquay.snapshots.service import Service
from medlarquay.snapshots.snapshot import Snapshot

__all__ = ('Route', 'Service', 'Snapshot', 'build_snapshot', 'match_route')
