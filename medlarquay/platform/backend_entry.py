"""Entries of backend servers as entries of the product's instance list."""

import json
from types import MappingProxyType

from medlarquay import addresses, errors, settings
from medlarquay.platform import platform_settings, store_body

__all__ = ('translate_entry',)

_STEP = 'translate instance entry'
_STATES = MappingProxyType({'ready': 'live', 'draining': 'leaving'})
# What the parsing of a value of another shape or depth raises.
_MALFORMED = (
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


def translate_entry(
    instance: str,
    content: bytes,
    *,
    own: platform_settings.PlatformSettings,
) -> bytes:
    """Return the instance entry that a backend server's entry stands for.

    Parameters
    ----------
    instance : str
        Last part of the key: the id of this run of the backend server.
    content : bytes
        Value of the key (CBOR).
    own : PlatformSettings
        Settings of this node: all machines of a day use the same ports, and
        the zones of all regions stand there.

    Raises
    ------
    SourceError
        If a field is missing or malformed.
    """
    try:
        return json.dumps(_translate(instance, content, own)).encode()
    except _MALFORMED as cause:
        raise errors.SourceError(
            f'malformed entry: {cause!r}',
            step=_STEP,
            peer=instance,
        ) from cause


def _translate(
    instance: str,
    content: bytes,
    own: platform_settings.PlatformSettings,
) -> dict[str, object]:
    found = store_body.decode_body(content)
    about = found['info']
    # The address of the backend server; its node has the same IP address.
    host = addresses.parse_address(found['address']).host
    slots = about['capacity']
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        raise ValueError('capacity must be a whole number above 0')
    return {
        'instance': instance,
        'node': host,
        'team': settings.SHARED_TEAM,
        'service': _text(about['service']),
        'region': own.regions[about['zone']],
        'data_centre': _text(about['zone']),
        'host': host,
        'caller_port': own.callers.port,
        'peer_port': own.peer_port,
        'slots': slots,
        'state': _STATES[found['status']['state']],
    }


def _text(found: object) -> str:
    if isinstance(found, str) and found:
        return found
    raise TypeError('must be a text')
