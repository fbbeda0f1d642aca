"""Translation of backend server entries to instance list entries."""

import json
from types import MappingProxyType

from medlarquay import addresses, errors, settings
from medlarquay.platform import platform_settings, store_body

__all__ = ('translate_entry',)

_STEP = 'translate instance entry'
_STATES = MappingProxyType({'ready': 'live', 'draining': 'leaving'})
# Errors that parsing a value of unexpected shape or depth raises.
_PARSE_ERRORS = (
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
    own_settings: platform_settings.PlatformSettings,
) -> bytes:
    """Translate the entry of a backend server to an instance list entry.

    Parameters
    ----------
    instance : str
        Last part of the key, the id of this run of the backend server.
    content : bytes
        Value of the key (CBOR).
    own_settings : PlatformSettings
        Settings of this node, for the ports, which are the same on all
        machines of a deployment, and for the regions of all zones.

    Returns
    -------
    bytes
        Entry of the instance list (JSON).

    Raises
    ------
    SourceError
        If a field is missing or malformed.
    """
    try:
        return json.dumps(_translate(instance, content, own_settings)).encode()
    except _PARSE_ERRORS as cause:
        raise errors.SourceError(
            f'malformed entry: {cause!r}',
            step=_STEP,
            peer=instance,
        ) from cause


def _translate(
    instance: str,
    content: bytes,
    own_settings: platform_settings.PlatformSettings,
) -> dict[str, object]:
    entry = store_body.decode_body(content)
    info = entry['info']
    # Address of the backend server; its node has the same IP address.
    host = addresses.parse_address(entry['address']).host
    slots = info['capacity']
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        raise ValueError('capacity must be a whole number above 0')
    return {
        'instance': instance,
        'node': host,
        'team': settings.SHARED_TEAM,
        'service': _require_text(info['service']),
        'region': own_settings.regions[info['zone']],
        'data_centre': _require_text(info['zone']),
        'host': host,
        'caller_port': own_settings.callers.port,
        'peer_port': own_settings.peer_port,
        'slots': slots,
        'state': _STATES[entry['status']['state']],
    }


def _require_text(content: object) -> str:
    if isinstance(content, str) and content:
        return content
    raise TypeError('must be a non-empty string')
