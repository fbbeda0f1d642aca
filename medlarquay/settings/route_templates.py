"""Validation of routes that differ only in their path prefix."""

import dataclasses

from medlarquay import ids
from medlarquay.settings import (
    document_value,
    parse_route,
    route_field,
    route_settings,
)

__all__ = ('RouteTemplates',)

# Routes of a service mostly agree in all other fields.
_MAX_TEMPLATES = 1024
_PREFIX = route_field.RouteField.PATH_PREFIX.value


class RouteTemplates:
    """Validates routes; reuses the result for those with another prefix.

    Notes
    -----
    The fields besides the prefix are validated once for each combination of
    their values, which takes most of the time of a document with thousands of
    routes.
    """

    def __init__(self) -> None:
        self._templates: dict[
            tuple[ids.TeamName, str], route_settings.RouteSettings
        ] = {}

    def parse(
        self,
        entry: document_value.DocumentValue,
    ) -> route_settings.RouteSettings:
        """Validate the fields of one route.

        Raises
        ------
        DocumentError
            If any field is invalid.
        """
        if not isinstance(entry.content, dict):
            return parse_route.parse_route(entry)
        others = {
            name: member
            for name, member in entry.content.items()
            if name != _PREFIX
        }
        # 1, 1.0 and True are equal, but their texts differ.
        key = (entry.team, repr(others))
        template = self._templates.get(key)
        if template is None:
            template = self._add(key, entry)
        if _PREFIX not in entry.content:
            return dataclasses.replace(
                template, path_prefix=parse_route.parse_prefix(None)
            )
        prefix = document_value.DocumentValue(
            team=entry.team,
            path=f'{entry.path}.{_PREFIX}',
            content=entry.content[_PREFIX],
        )
        return dataclasses.replace(
            template, path_prefix=parse_route.parse_prefix(prefix)
        )

    def _add(
        self,
        key: tuple[ids.TeamName, str],
        entry: document_value.DocumentValue,
    ) -> route_settings.RouteSettings:
        if len(self._templates) >= _MAX_TEMPLATES:
            self._templates.clear()
        template = parse_route.parse_route(entry)
        self._templates[key] = template
        return template
