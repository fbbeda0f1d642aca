"""Whether a request is offered to its owner before its body is sent."""

from collections.abc import Mapping
from types import MappingProxyType

from medlarquay import messages
from medlarquay.routing import zone

__all__ = ('offers_first',)

# A refusal of a request that was sent whole wastes its body. Traffic within a
# data centre is free, and an offer costs a round trip; traffic between data
# centres is paid by volume, and an offer takes 150 bytes.
_MIN_BYTES: Mapping[zone.Zone, int] = MappingProxyType({
    zone.Zone.DATA_CENTRE: messages.LARGE_BODY_BYTES,
    zone.Zone.REGION: 1024,
    zone.Zone.OTHER_REGION: 1024,
})


def offers_first(body_bytes: int, distance: zone.Zone) -> bool:
    """Return whether a request is offered before its body is sent.

    Parameters
    ----------
    body_bytes : int
        Length of the body.
    distance : Zone
        Zone of the owner, seen from the ingress.
    """
    return body_bytes >= _MIN_BYTES[distance]
