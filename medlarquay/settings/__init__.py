"""The operators' documents: schema and validation."""

from medlarquay.settings.parse import parse_document
from medlarquay.settings.route_settings import RouteSettings
from medlarquay.settings.service_settings import ServiceSettings
from medlarquay.settings.team_document import TeamDocument

__all__ = (
    'parse_document',
    'RouteSettings',
    'ServiceSettings',
    'TeamDocument',
)
