"""Checking of one service of a document."""

import math
import re

from medlarquay import ids, states
from medlarquay.settings import (
    document_value,
    limits,
    service_field,
    service_settings,
)

__all__ = ('NAME_PATTERN', 'NAME_RULE', 'parse_service')

NAME_PATTERN = re.compile('[a-z0-9]([a-z0-9-]*[a-z0-9])?')
NAME_RULE = (
    'must be lower-case letters, digits and hyphens, '
    'without a hyphen at either end'
)
# Decimal floors such as 0.1, 0.2 and 0.6 add up to slightly more than 0.9 in
# binary floating point.
_SUM_DIGITS = 9


def parse_service(
    name: str,
    entry: document_value.DocumentValue,
) -> service_settings.ServiceSettings:
    """Check one service.

    Raises
    ------
    DocumentError
        If any rule is broken.
    """
    found = entry.fields(service_field.ServiceField)
    queue_limit = found.get(service_field.ServiceField.QUEUE_LIMIT)
    cold_start = found.get(service_field.ServiceField.COLD_START_MS)
    return service_settings.ServiceSettings(
        name=_check_name(name, entry),
        floors=_parse_floors(found.get(service_field.ServiceField.FLOORS)),
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


def _check_name(
    name: str,
    entry: document_value.DocumentValue,
) -> ids.ServiceName:
    named = document_value.DocumentValue(
        team=entry.team,
        path=f'name of {entry.path}',
        content=name,
    )
    return ids.ServiceName(
        named.text(
            NAME_PATTERN,
            length=limits.MAX_NAME_LENGTH,
            rule=NAME_RULE,
        ),
    )


def _parse_floors(
    entry: document_value.DocumentValue | None,
) -> tuple[tuple[states.Rank, float], ...]:
    shares: dict[states.Rank, float] = {}
    if entry is not None:
        shares = {
            rank: share.share()
            for rank, share in entry.fields(states.Rank).items()
        }
        if (
            round(math.fsum(shares.values()), _SUM_DIGITS)
            > limits.MAX_FLOOR_SUM
        ):
            raise entry.error(f'must add up to at most {limits.MAX_FLOOR_SUM}')
    return tuple((rank, shares.get(rank, float(0))) for rank in states.Rank)
