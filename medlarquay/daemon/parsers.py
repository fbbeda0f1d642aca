"""Parsers of the texts of settings.

Each returns the value of a text and raises ``ValueError`` with the rule that
an invalid text breaks.
"""

import ipaddress
import math
import re
from urllib.parse import SplitResult, urlsplit

from medlarquay import telemetry, units

__all__ = (
    'ip_address',
    'link_rate',
    'log_level',
    'name',
    'seconds',
    'source_url',
)

# Names occur in log lines, in metrics and in keys of the source.
_NAME_PATTERN = re.compile('[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?')


def name(text: str) -> str:
    """Parse the name of an instance, region or data centre."""
    if _NAME_PATTERN.fullmatch(text):
        return text
    raise ValueError(
        'must be 1 to 128 letters, digits, dots, hyphens and underscores, '
        'with a letter or digit at either end',
    )


def ip_address(text: str) -> str:
    """Parse an IP address; return its canonical text."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as cause:
        raise ValueError('must be an IP address') from cause


def source_url(text: str) -> str:
    """Parse the base URL of the configuration service; drop a final slash."""
    parts = _split_url(text)
    plain = not (parts.query or parts.fragment) and text.isprintable()
    if parts.scheme == 'http' and parts.hostname and plain:
        return text.rstrip('/')
    raise ValueError('must be an http URL without query')


def seconds(text: str, *, low: float, high: float) -> float:
    """Parse a duration in seconds, from ``low`` to ``high``."""
    rule = f'must be {low:g} to {high:g} seconds'
    try:
        duration = float(text)
    except ValueError as cause:
        raise ValueError(rule) from cause
    if math.isnan(duration) or not low <= duration <= high:
        raise ValueError(rule)
    return duration


def link_rate(text: str, *, low: float) -> float:
    """Parse a rate in Mbit/s, at least ``low``; return bytes per second."""
    rule = f'must be {low:g} Mbit/s or more, or inf'
    try:
        rate = float(text)
    except ValueError as cause:
        raise ValueError(rule) from cause
    # Comparisons with NaN are false, so that NaN is rejected too.
    if rate >= low:
        return rate * units.BYTES_PER_MEGABIT
    raise ValueError(rule)


def log_level(text: str) -> str:
    """Parse a log level."""
    if text in telemetry.LOG_LEVELS:
        return text
    raise ValueError(
        'must be one of {}'.format(', '.join(telemetry.LOG_LEVELS))
    )


def _split_url(text: str) -> SplitResult:
    parts = urlsplit(text)
    # The port is validated only when the attribute is read; it may raise here.
    if parts.port == 0:
        raise ValueError('port must not be 0')
    return parts
