"""Snapshot with one service in three data centres, for measurements."""

from medlarquay import ids, replica, settings, snapshots, states

__all__ = ('HOST', 'SERVICE', 'TEAM', 'build_snapshot')

TEAM = ids.TeamName('agency')
SERVICE = ids.ServiceName('editorial-desk')
HOST = 'editorial-desk.agency'

_LOCATIONS = (('north', 'a'), ('north', 'b'), ('south', 'c'))


def build_snapshot(servers: int) -> snapshots.Snapshot:
    """Return a snapshot with one service.

    Parameters
    ----------
    servers : int
        Number of backend servers, distributed over three data centres.
    """
    document = settings.TeamDocument(
        team=TEAM,
        services=(
            settings.ServiceSettings(
                name=SERVICE,
                floors=(),
                queue_limit=8,
                cold_start_ms=0,
            ),
        ),
        routes=(
            settings.RouteSettings(
                host=HOST,
                path_prefix='/',
                service=SERVICE,
                rank=states.Rank.NORMAL,
                timeout_ms=2000,
                idempotent_methods=('GET',),
            ),
        ),
    )
    return snapshots.build_snapshot(
        documents=[document],
        instances=[_instance(number) for number in range(servers)],
        tree_revision=ids.Revision(1),
        list_revision=ids.Revision(1),
    )


def _instance(number: int) -> replica.InstanceRecord:
    region, data_centre = _LOCATIONS[number % len(_LOCATIONS)]
    return replica.InstanceRecord(
        instance=ids.InstanceId(f'desk-{number}'),
        revision=ids.Revision(1),
        team=TEAM,
        service=SERVICE,
        region=ids.RegionName(region),
        data_centre=ids.DataCentreName(data_centre),
        host='127.0.0.1',
        caller_port=1,
        peer_port=2,
        slots=6,
        state=states.InstanceState.LIVE,
    )
