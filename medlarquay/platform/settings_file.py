"""Reading and parsing of the platform's settings file."""

import math
import pathlib
from collections.abc import Mapping

from medlarquay import addresses, errors, ids, units
from medlarquay.platform import duration, platform_settings

__all__ = ('PATH_VARIABLE', 'parse_settings', 'read_settings')

#: Environment variable with the path of the file.
PATH_VARIABLE = 'MEDLARQUAY_CONFIG'

_STEP = 'read settings file'
_ZONE_PREFIX = 'zones.'
_DRAIN_TIMEOUT = 'grace'
_RETRY_BURST = 'budget_extra'
_LINK_RATE = 'limits.link_mbps'
_MAX_DIGITS = 9
# Used when the file states no time between SIGTERM and SIGKILL.
_DEFAULT_DRAIN_TIMEOUT = '6s'
_MS_PER_SECOND = 1000


def read_settings(path: str) -> platform_settings.PlatformSettings:
    """Read and check the settings file.

    Raises
    ------
    SettingError
        If the file cannot be read, or a field is missing or invalid.
    """
    try:
        content = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as cause:
        raise errors.SettingError(
            f'cannot read the settings file: {cause}',
            step=_STEP,
            peer=path,
        ) from cause
    return parse_settings(content)


def parse_settings(content: str) -> platform_settings.PlatformSettings:
    """Parse and check the lines ``a.b=value`` of a settings file.

    Raises
    ------
    SettingError
        If a field is missing or invalid; the message names the field, its
        value and the rule that it breaks.
    """
    fields = _parse_lines(content)
    low, high = _ports(fields)
    bounds = dict(
        bound.partition('=')[::2]
        for bound in fields.get('bounds', '').split(',')
    )
    return platform_settings.PlatformSettings(
        host=_text(fields, 'ip'),
        data_centre=ids.DataCentreName(_text(fields, 'zone')),
        region=ids.RegionName(_text(fields, 'region')),
        regions={
            name.removeprefix(_ZONE_PREFIX): region
            for name, region in fields.items()
            if name.startswith(_ZONE_PREFIX)
        },
        callers=_address(fields, 'bind.outbound'),
        readiness=_address(fields, 'bind.readiness'),
        # Only processes on this machine can connect to it.
        backend=_address(fields, 'app_addr'),
        store=_address(fields, 'platform.address'),
        peer_port=low,
        admin_port=high,
        service=ids.ServiceName(_text(fields, 'service')),
        drain_timeout_s=_drain_timeout_s(bounds),
        link_bytes_per_s=_link_bytes_per_s(fields),
        fleet_burst=_fleet_burst(bounds),
    )


def _parse_lines(content: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in content.splitlines():
        name, separator, text = line.partition('=')
        if separator:
            fields[name.strip()] = text.strip()
    return fields


def _text(fields: Mapping[str, str], name: str) -> str:
    text = fields.get(name, '')
    if text:
        return text
    raise _error(name, text, 'is required')


def _address(
    fields: Mapping[str, str],
    name: str,
) -> addresses.NodeAddress:
    text = _text(fields, name)
    try:
        return addresses.parse_address(text)
    except ValueError as cause:
        raise _error(name, text, str(cause)) from cause


def _ports(fields: Mapping[str, str]) -> tuple[int, int]:
    name = 'internal_ports'
    text = _text(fields, name)
    rule = 'must be the first and the last of at least two ports'
    low, _, high = text.partition(',')
    try:
        ports = (addresses.parse_port(low), addresses.parse_port(high))
    except ValueError as cause:
        raise _error(name, text, rule) from cause
    if ports[0] < ports[1]:
        return ports
    raise _error(name, text, rule)


def _drain_timeout_s(bounds: Mapping[str, str]) -> float:
    text = bounds.get(_DRAIN_TIMEOUT, _DEFAULT_DRAIN_TIMEOUT)
    try:
        drain_timeout_ms = duration.parse_duration_ms(
            text, field=f'bounds.{_DRAIN_TIMEOUT}'
        )
    except errors.SourceError as cause:
        raise _error(f'bounds.{_DRAIN_TIMEOUT}', text, str(cause)) from cause
    return drain_timeout_ms / _MS_PER_SECOND


def _link_bytes_per_s(fields: Mapping[str, str]) -> float:
    text = fields.get(_LINK_RATE)
    if text is None:
        return math.inf
    try:
        megabits_per_s = float(text)
    except ValueError as cause:
        raise _error(_LINK_RATE, text, 'must be a number') from cause
    if megabits_per_s > 0:
        return megabits_per_s * units.BYTES_PER_MEGABIT
    raise _error(_LINK_RATE, text, 'must be above 0')


def _fleet_burst(bounds: Mapping[str, str]) -> int | None:
    text = bounds.get(_RETRY_BURST)
    if text is None:
        return None
    if text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS:
        return int(text)
    raise _error(f'bounds.{_RETRY_BURST}', text, 'must be a whole number')


def _error(name: str, text: str, rule: str) -> errors.SettingError:
    return errors.SettingError(f'{name} is {text!r}: {rule}', step=_STEP)
