"""Hosts that the routes of a team may have."""

from medlarquay import ids
from medlarquay.settings import limits

__all__ = ('may_use_host',)


def may_use_host(team: ids.TeamName, host: str) -> bool:
    """Return whether the routes of a team may have a host.

    Parameters
    ----------
    team : TeamName
        Team that owns the routes.
    host : str
        Host in lower case without port.
    """
    return team == limits.SHARED_TEAM or host.endswith(f'.{team}')
