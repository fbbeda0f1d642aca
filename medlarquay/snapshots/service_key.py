"""Identity of a service over all teams."""

from medlarquay import ids

__all__ = ('ServiceKey',)

ServiceKey = tuple[ids.TeamName, ids.ServiceName]
