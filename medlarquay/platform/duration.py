"""Durations as the platform writes them."""

import re

from medlarquay import errors

__all__ = ('parse_duration_ms',)

# Twelve digits are 30 years in milliseconds; a number that is no float is
# refused before it is converted.
_PATTERN = re.compile(r'(\d{1,12}(?:\.\d{1,12})?)(ms|s)')
_MS_PER_SECOND = 1000


def parse_duration_ms(text: object, *, field: str) -> int:
    """Return a duration in milliseconds.

    Parameters
    ----------
    text : object
        A number and its unit, such as ``1500ms`` or ``2.5s``.
    field : str
        Where it stands; named by the error.

    Raises
    ------
    SourceError
        If it is no duration.
    """
    found = _PATTERN.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise errors.SourceError(
            f'{field} is {text!r}: must be a number with the unit ms or s',
            step='parse duration',
        )
    number = float(found.group(1))
    if found.group(2) == 's':
        number *= _MS_PER_SECOND
    return round(number)
