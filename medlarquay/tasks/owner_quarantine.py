"""Exchange of crash suspects with the other owners of a service."""

from medlarquay import events, messages, quarantine, replica
from medlarquay.tasks import owner_base, owner_handle, owner_starts

__all__ = ()


@owner_handle.handle.register
def _crash_suspected(
    message: messages.CrashSuspected,
    owner: owner_base.OwnerBase,
) -> None:
    quarantine.decide(message, owner.quarantine, owner.now())


@owner_handle.handle.register
def _suspicion_cleared(
    message: messages.SuspicionCleared,
    owner: owner_base.OwnerBase,
) -> None:
    quarantine.decide(message, owner.quarantine, owner.now())
    owner_starts.readmit_held(owner)


@owner_handle.handle.register
def _greeted(
    message: events.PeerGreeted,
    owner: owner_base.OwnerBase,
) -> None:
    """Tell the suspects to another owner of the service, which may be new."""
    peer = _find_peer(message, owner)
    if peer is not None:
        for report in quarantine.known_reports(owner.quarantine, owner.now()):
            owner.post_to_links(
                events.SendNotice(
                    instance=peer.node_name,
                    host=peer.host,
                    port=peer.peer_port,
                    message=report,
                ),
            )


def _find_peer(
    message: events.PeerGreeted,
    owner: owner_base.OwnerBase,
) -> replica.InstanceRecord | None:
    if owner.local_instance is None or not owner.quarantine.suspects:
        return None
    for peer in owner.local_instance.peers:
        if peer.node_name == message.instance:
            return peer
    return None
