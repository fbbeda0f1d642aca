"""Schema and validation of the team documents that operators publish."""

from medlarquay.settings.document_field import DocumentField
from medlarquay.settings.document_parser import DocumentParser
from medlarquay.settings.host_owner import may_use_host
from medlarquay.settings.http_method import HttpMethod
from medlarquay.settings.limits import (
    MAX_ATTEMPTS,
    MAX_DOCUMENT_BYTES,
    MAX_SERVICES,
    MAX_TIMEOUT_MS,
    MAX_WEIGHT,
    SHARED_TEAM,
    SOURCE_VALUE_BYTES,
)
from medlarquay.settings.parse_document import (
    parse_document,
    parse_incrementally,
)
from medlarquay.settings.parsed_document import ParsedDocument
from medlarquay.settings.route_field import RouteField
from medlarquay.settings.route_settings import RouteSettings
from medlarquay.settings.service_field import ServiceField
from medlarquay.settings.service_settings import ServiceSettings
from medlarquay.settings.team_document import TeamDocument
from medlarquay.settings.weighted_service import WeightedService

__all__ = (
    'MAX_ATTEMPTS',
    'MAX_DOCUMENT_BYTES',
    'MAX_SERVICES',
    'MAX_TIMEOUT_MS',
    'MAX_WEIGHT',
    'SHARED_TEAM',
    'SOURCE_VALUE_BYTES',
    'DocumentField',
    'DocumentParser',
    'HttpMethod',
    'ParsedDocument',
    'RouteField',
    'RouteSettings',
    'ServiceField',
    'ServiceSettings',
    'TeamDocument',
    'WeightedService',
    'may_use_host',
    'parse_document',
    'parse_incrementally',
)
