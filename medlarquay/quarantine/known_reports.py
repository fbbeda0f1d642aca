"""Reports that teach another owner the suspects of this one."""

from medlarquay import messages
from medlarquay.quarantine import quarantine

__all__ = ('known_reports',)

# Number of suspects that are told, the newest ones. Most of a larger number are
# neighbours of crashing requests, which are cleared as they complete.
_MAX_SUSPECTS = 256


def known_reports(
    state: quarantine.Quarantine,
    now: float,
) -> tuple[messages.CrashSuspected, ...]:
    """Return one report for each crash of each suspect.

    An owner that has just started knows none of them.

    Parameters
    ----------
    state : Quarantine
        Suspects of this owner.
    now : float
        Seconds on the monotonic clock.
    """
    newest = list(state.suspects.items())[-_MAX_SUSPECTS:]
    return tuple(
        messages.CrashSuspected(
            service=state.service,
            fingerprint=fingerprint,
            crash_id=crash_id,
            only_suspect=entry.only_suspect,
        )
        for fingerprint, entry in newest
        if entry.deadline > now
        for crash_id in sorted(entry.crashes)
    )
