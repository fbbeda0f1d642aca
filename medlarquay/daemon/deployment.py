"""Properties of a node that depend on the platform it is deployed on."""

import dataclasses

from medlarquay import addresses, ingress
from medlarquay.daemon import stop_timing
from medlarquay.tasks import (
    listing_check,
    local_backend,
    peer_discovery,
    source_fetcher,
)

__all__ = ('Deployment',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Properties of a node that depend on the platform it is deployed on.

    Attributes
    ----------
    fetcher : SourceFetcher
        Reads the configuration service.
    discovery : PeerDiscovery or None
        Finds some other nodes for a node without seeds.
    listing : ListingCheck or None
        Answers whether the local backend server is listed; None if a backend
        server that is not listed is never used.
    ingress_settings : IngressSettings
        Names of header fields, and the platform's rules for callers.
    local : LocalBackend
        Known properties of the local backend server.
    readiness : NodeAddress or None
        Address on which the node also answers readiness checks, besides the
        admin port; None for the admin port only.
    stop_times : StopTiming
        Times of a graceful stop.
    """

    fetcher: source_fetcher.SourceFetcher
    discovery: peer_discovery.PeerDiscovery | None = None
    listing: listing_check.ListingCheck | None = None
    ingress_settings: ingress.IngressSettings = dataclasses.field(
        default_factory=ingress.IngressSettings
    )
    local: local_backend.LocalBackend = dataclasses.field(
        default_factory=local_backend.LocalBackend,
    )
    readiness: addresses.NodeAddress | None = None
    stop_times: stop_timing.StopTiming = dataclasses.field(
        default_factory=stop_timing.StopTiming,
    )
