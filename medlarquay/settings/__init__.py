"""The operators' documents: schema and validation."""

from medlarquay.settings.document_field import DocumentField
from medlarquay.settings.http_method import HttpMethod
from medlarquay.settings.parse import parse_document
from medlarquay.settings.route_field import RouteField
from medlarquay.settings.route_settings import RouteSettings
from medlarquay.settings.service_field import ServiceField
from medlarquay.settings.service_settings import ServiceSettings
from medlarquay.settings.team_document import TeamDocument

__all__ = (
    'DocumentField',
    'HttpMethod',
    'RouteField',
    'RouteSettings',
    'ServiceField',
    'ServiceSettings',
    'TeamDocument',
    'parse_document',
)
