"""Round-trip time to each zone."""

from collections.abc import Mapping
from types import MappingProxyType

from medlarquay.routing import zone

__all__ = ('ROUND_TRIP_S',)

# One-way latency: 1 ms between data centres, 30 ms between regions (design,
# section 1.6).
_DATA_CENTRES_S = 0.001
_REGIONS_S = 0.03

ROUND_TRIP_S: Mapping[zone.Zone, float] = MappingProxyType({
    zone.Zone.DATA_CENTRE: 0,
    zone.Zone.REGION: 2 * _DATA_CENTRES_S,
    zone.Zone.OTHER_REGION: 2 * _REGIONS_S,
})
