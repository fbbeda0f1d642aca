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

    Parameters
    ----------
    state : Quarantine
        Suspects of this owner.
    fingerprint : Fingerprint
        Fingerprint of a request.

    Returns
    -------
    bool
        True if the request was in flight at two crashes or more, and either
        was the only suspect at one of them or shares fewer than two crashes
        with every other suspect.

    Notes
    -----
    If reports arrive late, two suspects can both be in flight at the same two
    crashes. Both remain suspects then, so that an unrelated request is not
    refused. They no longer run at the same time, so the next crash shows
    which one causes it.
    """
    entry = state.suspects.get(fingerprint)
    if entry is None or len(entry.crashes) < _CRASHES_TO_QUARANTINE:
        return False
    if entry.only_suspect:
        return True
    return not any(
        len(other.crashes & entry.crashes) >= _CRASHES_TO_QUARANTINE
        for other_fingerprint, other in state.suspects.items()
        if other_fingerprint != fingerprint
    )
