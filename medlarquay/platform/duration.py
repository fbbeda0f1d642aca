"""Parsing of durations in the format of the platform."""

import re

from medlarquay import errors

__all__ = ('parse_duration_ms',)

# Twelve digits are 30 years in milliseconds; a number too long for a float is
# refused before the conversion.
_PATTERN = re.compile(r'(\d{1,12}(?:\.\d{1,12})?)(ms|s)')
_MS_PER_SECOND = 1000


def parse_duration_ms(text: object, *, field: str) -> int:
    """Parse a duration; return it in milliseconds.

    Parameters
    ----------
    text : object
        A number and its unit, such as ``1500ms`` or ``2.5s``.
    field : str
        Name of the field, for the error message.

    Raises
    ------
    SourceError
        If the text is not a duration.
    """
    match = _PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise errors.SourceError(
            f'{field} is {text!r}: must be a number with the unit ms or s',
            step='parse duration',
        )
    number = float(match.group(1))
    if match.group(2) == 's':
        number *= _MS_PER_SECOND
    return round(number)
