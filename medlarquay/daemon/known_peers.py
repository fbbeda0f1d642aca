"""Peers that a node knows from its settings."""

from medlarquay import ids, topology
from medlarquay.daemon import node_settings

__all__ = ('own_peer', 'seed_peers')


def own_peer(settings: node_settings.NodeSettings) -> topology.Peer:
    """Return the peer entry of the node itself."""
    return topology.Peer(
        instance=settings.instance,
        region=settings.region,
        data_centre=settings.data_centre,
        host=settings.host,
        port=settings.peer_port,
    )


def seed_peers(
    settings: node_settings.NodeSettings,
) -> tuple[topology.Peer, ...]:
    """Return the seeds as peers; all but their addresses is empty."""
    return tuple(
        topology.Peer(
            instance=ids.InstanceId(''),
            region=ids.RegionName(''),
            data_centre=ids.DataCentreName(''),
            host=seed.host,
            port=seed.port,
        )
        for seed in settings.seed
    )
