"""Types of the identifiers used across the system."""

from medlarquay.ids.call_id import CallId
from medlarquay.ids.caller_id import CallerId
from medlarquay.ids.data_centre_name import DataCentreName
from medlarquay.ids.digest import Digest
from medlarquay.ids.exchange_id import ExchangeId
from medlarquay.ids.fingerprint import Fingerprint
from medlarquay.ids.incarnation import Incarnation
from medlarquay.ids.instance_id import InstanceId
from medlarquay.ids.link_id import LinkId
from medlarquay.ids.order_hash import OrderHash
from medlarquay.ids.region_name import RegionName
from medlarquay.ids.request_key import RequestKey
from medlarquay.ids.revision import Revision
from medlarquay.ids.route_name import RouteName
from medlarquay.ids.service_name import ServiceName
from medlarquay.ids.stream_id import StreamId
from medlarquay.ids.team_name import TeamName

__all__ = (
    'ExchangeId',
    'LinkId',
    'CallerId',
    'CallId',
    'DataCentreName',
    'Digest',
    'Fingerprint',
    'Incarnation',
    'InstanceId',
    'OrderHash',
    'RegionName',
    'RequestKey',
    'Revision',
    'RouteName',
    'ServiceName',
    'StreamId',
    'TeamName',
)
