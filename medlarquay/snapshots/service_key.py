"""Key that identifies a service among all teams: its team and its name."""

from medlarquay import ids

__all__ = ('ServiceKey',)

ServiceKey = tuple[ids.TeamName, ids.ServiceName]
