"""Greeting of the other owners of a service by one that has just started."""

import functools

from medlarquay import events, messages, replica
from medlarquay.tasks import owner_base

__all__ = ('greet_peers',)

# Each crash is reported to all owners of the service, so a few are enough
# unless they have just started too.
_GREETED_PEERS = 4


def greet_peers(owner: owner_base.OwnerBase) -> None:
    """Open links to near owners of the service, which then tell suspects."""
    if owner.local_instance is None:
        return
    nearest = sorted(
        owner.local_instance.peers,
        key=functools.partial(_distance, owner.hello),
    )
    for peer in nearest[:_GREETED_PEERS]:
        owner.post_to_links(
            events.OpenLink(
                instance=peer.node_name,
                host=peer.host,
                port=peer.peer_port,
            ),
        )


def _distance(
    hello: messages.Hello,
    peer: replica.InstanceRecord,
) -> tuple[bool, bool]:
    return (
        peer.region != hello.region,
        peer.data_centre != hello.data_centre,
    )
