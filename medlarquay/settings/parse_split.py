"""Validation of the parts of a split route."""

from medlarquay.settings import (
    document_value,
    limits,
    parse_service,
    split_field,
    weighted_service,
)

__all__ = ('parse_split',)


def parse_split(
    entry: document_value.DocumentValue | None,
) -> tuple[weighted_service.WeightedService, ...]:
    """Validate the parts of a split route; return those with a weight.

    Raises
    ------
    DocumentError
        If a part is malformed or none has a weight.
    """
    if entry is None:
        return ()
    parts = tuple(
        _parse_part(part)
        for part in entry.elements(limit=limits.MAX_SPLIT_PARTS)
    )
    if not any(part.weight for part in parts):
        raise entry.error('must have a part with a weight above 0')
    return tuple(part for part in parts if part.weight)


def _parse_part(
    entry: document_value.DocumentValue,
) -> weighted_service.WeightedService:
    fields = entry.fields(split_field.SplitField)
    if len(fields) < len(split_field.SplitField):
        raise entry.error('must have the fields service and weight')
    return weighted_service.WeightedService(
        service=parse_service.parse_reference(
            fields[split_field.SplitField.SERVICE]
        ),
        weight=fields[split_field.SplitField.WEIGHT].integer(
            low=0,
            high=limits.MAX_WEIGHT,
        ),
    )
