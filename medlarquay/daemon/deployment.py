"""What a node takes from the place where it is deployed."""

import dataclasses

from medlarquay import addresses, ingress
from medlarquay.daemon import stop_pace
from medlarquay.tasks import source_fetcher

__all__ = ('Deployment',)

# A backend server that does not stop at the deadline may work this long.
_HUNG_S = 600


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """What a node takes from the place where it is deployed.

    Attributes
    ----------
    fetcher : SourceFetcher
        Reads the configuration service.
    front : Front
        Header fields of callers and backend servers.
    readiness : NodeAddress or None
        Where the node is asked whether it is ready, besides its operators'
        port.
    hung_s : float
        Seconds past the deadline of a request after which its backend server
        will not answer any more.
    exclusive : bool
        Whether the node alone sends its backend server work.
    pace : StopPace
        Times of a graceful stop.
    """

    fetcher: source_fetcher.SourceFetcher
    front: ingress.Front = dataclasses.field(default_factory=ingress.Front)
    readiness: addresses.NodeAddress | None = None
    hung_s: float = _HUNG_S
    exclusive: bool = False
    pace: stop_pace.StopPace = dataclasses.field(
        default_factory=stop_pace.StopPace,
    )
