"""Reading and parsing of the platform's settings file."""

import math
import pathlib

from medlarquay import addresses, errors, ids, units
from medlarquay.platform import duration, field_reader, platform_settings

__all__ = ('PATH_VARIABLE', 'parse_settings', 'read_settings')

#: Environment variable with the path of the file.
PATH_VARIABLE = 'MEDLARQUAY_CONFIG'

_STEP = 'read settings file'
_ZONE_PREFIX = 'zones.'
_BOUNDS = 'bounds'
_MAX_COUNT = 999_999_999
# Used when the file states no time between SIGTERM and SIGKILL.
_DEFAULT_DRAIN_TIMEOUT_S = 6.0
_DEFAULT_LEAVING_S = 2.0
_MS_PER_SECOND = 1000


def read_settings(path: str) -> platform_settings.PlatformSettings:
    """Read and check the settings file.

    Raises
    ------
    SettingError
        If the file cannot be read, or a field without which the node cannot
        run is missing or invalid.
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
        If a field without which the node cannot run is missing or invalid.
    """
    fields = _parse_lines(content)
    reader = field_reader.FieldReader(fields=fields)
    peer_port, admin_port = reader.require('internal_ports', _parse_ports)
    return platform_settings.PlatformSettings(
        host=reader.require_text('ip'),
        data_centre=ids.DataCentreName(reader.require_text('zone')),
        region=ids.RegionName(reader.require_text('region')),
        regions={
            name.removeprefix(_ZONE_PREFIX): region
            for name, region in fields.items()
            if name.startswith(_ZONE_PREFIX)
        },
        callers=reader.require_address('bind.outbound'),
        readiness=reader.require_address('bind.readiness'),
        # Only processes on this machine can connect to it.
        backend=reader.require_address('app_addr'),
        store=reader.require_address('platform.address'),
        peer_port=peer_port,
        admin_port=admin_port,
        service=ids.ServiceName(reader.require_text('service')),
        drain_timeout_s=reader.parse_or_default(
            'bounds.grace', _parse_seconds, _DEFAULT_DRAIN_TIMEOUT_S
        ),
        leaving_s=reader.parse_or_default(
            'bounds.drain', _parse_seconds, _DEFAULT_LEAVING_S
        ),
        link_bytes_per_s=reader.parse_or_default(
            'limits.link_mbps', _parse_link_rate, math.inf
        ),
        fleet_burst=reader.parse_or_default(
            'bounds.budget_extra', _parse_count, None
        ),
    )


def _parse_lines(content: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in content.splitlines():
        name, separator, text = line.partition('=')
        if separator:
            fields[name.strip()] = text.strip()
    for bound in fields.get(_BOUNDS, '').split(','):
        name, _, text = bound.partition('=')
        fields[f'{_BOUNDS}.{name.strip()}'] = text.strip()
    return fields


def _parse_ports(text: str) -> tuple[int, int]:
    first, _, last = text.partition(',')
    ports = (addresses.parse_port(first), addresses.parse_port(last))
    if ports[0] < ports[1]:
        return ports
    raise ValueError('must be the first and the last of at least two ports')


def _parse_seconds(text: str) -> float:
    try:
        time_ms = duration.parse_duration_ms(text, field='time')
    except errors.SourceError as cause:
        raise ValueError('must be a number with the unit ms or s') from cause
    return time_ms / _MS_PER_SECOND


def _parse_link_rate(text: str) -> float:
    megabits_per_s = float(text)
    if megabits_per_s > 0:
        return megabits_per_s * units.BYTES_PER_MEGABIT
    raise ValueError('must be above 0')


def _parse_count(text: str) -> int | None:
    number = float(text)
    if 0 <= number <= _MAX_COUNT:
        # Of a fraction, only the whole part can be spent.
        return int(number)
    raise ValueError(f'must be from 0 to {_MAX_COUNT}')
