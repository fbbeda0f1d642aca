"""What a node takes from the place where it is deployed."""

import dataclasses

from medlarquay import addresses, ingress
from medlarquay.daemon import stop_pace
from medlarquay.tasks import local_backend, source_fetcher

__all__ = ('Deployment',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """What a node takes from the place where it is deployed.

    Attributes
    ----------
    fetcher : SourceFetcher
        Reads the configuration service.
    front : IngressSettings
        Header fields of callers and backend servers.
    local : LocalBackend
        What is known beforehand of the backend server beside the node.
    readiness : NodeAddress or None
        Where the node is asked whether it is ready, besides its operators'
        port.
    pace : StopPace
        Times of a graceful stop.
    """

    fetcher: source_fetcher.SourceFetcher
    front: ingress.IngressSettings = dataclasses.field(
        default_factory=ingress.IngressSettings
    )
    local: local_backend.LocalBackend = dataclasses.field(
        default_factory=local_backend.LocalBackend,
    )
    readiness: addresses.NodeAddress | None = None
    pace: stop_pace.StopPace = dataclasses.field(
        default_factory=stop_pace.StopPace,
    )
