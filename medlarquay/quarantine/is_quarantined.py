"""Decision whether a crash suspect is quarantined."""

from medlarquay import ids
from medlarquay.quarantine import quarantine

__all__ = ('is_quarantined',)

_CRASHES_TO_QUARANTINE = 2


def is_quarantined(
    state: quarantine.Quarantine,
    fingerprint: ids.Fingerprint,
) -> bool:
    """Return whether a fingerprint is quarantined.

    Notes
    -----
    When reports are late, two suspects can be in flight together at two
    crashes. Both stay suspects then, so that an unrelated request is not
    refused; they no longer run together, so the next crash tells them apart.
    """
    own = state.suspects.get(fingerprint)
    if own is None or len(own.crashes) < _CRASHES_TO_QUARANTINE:
        return False
    if own.alone:
        return True
    return not any(
        len(other.crashes & own.crashes) >= _CRASHES_TO_QUARANTINE
        for known, other in state.suspects.items()
        if known != fingerprint
    )
