"""What a simulated node reaches outside itself."""

from typing import Protocol

from medlarquay.tasks import connector, source_fetcher

__all__ = ('NodeAccess',)


class NodeAccess(
    connector.Connector,
    source_fetcher.SourceFetcher,
    Protocol,
):
    """Links to other nodes, reads of the source and the search for peers."""

    async def discover(self) -> bytes:
        """Return entries of the instance list, as ``PeerDiscovery`` does."""
