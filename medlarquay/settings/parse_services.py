"""Validation of the services of a document."""

from medlarquay.settings import (
    document_value,
    limits,
    parse_service,
    service_settings,
)

__all__ = ('parse_services',)


def parse_services(
    entry: document_value.DocumentValue | None,
) -> tuple[service_settings.ServiceSettings, ...]:
    """Validate all services and return them sorted by name.

    Raises
    ------
    DocumentError
        If any service is invalid.
    """
    if entry is None:
        return ()
    members = entry.members(limit=limits.MAX_SERVICES)
    return tuple(
        parse_service.parse_service(name, member)
        for name, member in sorted(members.items(), key=_name_of)
    )


def _name_of(member: tuple[str, document_value.DocumentValue]) -> str:
    return member[0]
