"""Validation of one service of a document."""

import math
import re

from medlarquay import ids, states
from medlarquay.settings import (
    document_value,
    limits,
    service_field,
    service_settings,
)

__all__ = ('NAME_PATTERN', 'NAME_RULE', 'parse_reference', 'parse_service')

NAME_PATTERN = re.compile('[a-z0-9]([a-z0-9-]*[a-z0-9])?')
NAME_RULE = (
    'must be lower-case letters, digits and hyphens, '
    'without a hyphen at either end'
)
# Decimal places to which a sum of floors is rounded: 0.1 + 0.2 + 0.6 is
# slightly more than 0.9 in binary floating point.
_SUM_DECIMAL_PLACES = 9


def parse_service(
    name: str,
    entry: document_value.DocumentValue,
) -> service_settings.ServiceSettings:
    """Validate the name and the fields of one service.

    Raises
    ------
    DocumentError
        If the name or any field is invalid.
    """
    fields = entry.fields(service_field.ServiceField)
    queue_limit = fields.get(service_field.ServiceField.QUEUE_LIMIT)
    cold_start = fields.get(service_field.ServiceField.COLD_START_MS)
    return service_settings.ServiceSettings(
        name=_check_name(name, entry),
        floors=_parse_floors(fields.get(service_field.ServiceField.FLOORS)),
        queue_limit=(
            limits.DEFAULT_QUEUE_LIMIT
            if queue_limit is None
            else queue_limit.integer(low=1, high=limits.MAX_QUEUE_LIMIT)
        ),
        cold_start_ms=(
            limits.DEFAULT_COLD_START_MS
            if cold_start is None
            else cold_start.integer(low=0, high=limits.MAX_COLD_START_MS)
        ),
    )


def parse_reference(
    entry: document_value.DocumentValue,
) -> ids.ServiceName:
    """Validate the name of a service to which a route refers.

    Raises
    ------
    DocumentError
        If it is not a name.
    """
    return ids.ServiceName(
        entry.text(
            NAME_PATTERN,
            length=limits.MAX_NAME_LENGTH,
            rule=NAME_RULE,
        ),
    )


def _check_name(
    name: str,
    entry: document_value.DocumentValue,
) -> ids.ServiceName:
    return parse_reference(
        document_value.DocumentValue(
            team=entry.team,
            path=f'name of {entry.path}',
            content=name,
        ),
    )


def _parse_floors(
    entry: document_value.DocumentValue | None,
) -> tuple[tuple[states.Rank, float], ...]:
    shares = dict(limits.DEFAULT_FLOORS)
    if entry is not None:
        shares = {
            rank: share.share()
            for rank, share in entry.fields(states.Rank).items()
        }
        if (
            round(math.fsum(shares.values()), _SUM_DECIMAL_PLACES)
            > limits.MAX_FLOOR_SUM
        ):
            raise entry.error(f'must add up to at most {limits.MAX_FLOOR_SUM}')
    return tuple((rank, shares.get(rank, float(0))) for rank in states.Rank)
