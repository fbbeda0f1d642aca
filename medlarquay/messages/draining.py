"""The sender is draining and accepts no new work."""

import dataclasses

from medlarquay import ids

__all__ = ('Draining',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Draining:
    """The sender is draining and accepts no new work.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance that is leaving.
    """

    instance: ids.InstanceId
