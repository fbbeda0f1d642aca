"""Rules for the texts of settings."""

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

# Names are parts of log lines and metrics, and of the source's keys.
_NAME_PATTERN = re.compile('[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?')


def name(text: str) -> str:
    """Return the name of an instance, region or data centre."""
    if _NAME_PATTERN.fullmatch(text):
        return text
    raise ValueError(
        'must be 1 to 128 letters, digits, dots, hyphens and underscores, '
        'with a letter or digit at either end',
    )


def ip_address(text: str) -> str:
    """Return an IP address."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as cause:
        raise ValueError('must be an IP address') from cause


def source_url(text: str) -> str:
    """Return the base address of the configuration service."""
    found = _split_url(text)
    plain = not (found.query or found.fragment) and text.isprintable()
    if found.scheme == 'http' and found.hostname and plain:
        return text.rstrip('/')
    raise ValueError('must be an http URL without query')


def seconds(text: str, *, low: float, high: float) -> float:
    """Return a duration in seconds within a range."""
    rule = f'must be {low:g} to {high:g} seconds'
    try:
        found = float(text)
    except ValueError as cause:
        raise ValueError(rule) from cause
    if math.isnan(found) or not low <= found <= high:
        raise ValueError(rule)
    return found


def link_rate(text: str, *, low: float) -> float:
    """Return bytes a second for a text in Mbit/s, at least ``low``."""
    rule = f'must be {low:g} Mbit/s or more, or inf'
    try:
        found = float(text)
    except ValueError as cause:
        raise ValueError(rule) from cause
    # NaN is not above anything.
    if found >= low:
        return found * units.BYTES_PER_MEGABIT
    raise ValueError(rule)


def log_level(text: str) -> str:
    """Return a log level."""
    if text in telemetry.LOG_LEVELS:
        return text
    raise ValueError(
        'must be one of {}'.format(', '.join(telemetry.LOG_LEVELS))
    )


def _split_url(text: str) -> SplitResult:
    found = urlsplit(text)
    # urlsplit checks a port only when it is read.
    if found.port == 0:
        raise ValueError('port must not be 0')
    return found
