"""The sender accepts no new work from now on."""

import dataclasses

from medlarquay import ids

__all__ = ('Draining',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Draining:
    """The sender accepts no new work from now on.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance that is leaving.
    """

    instance: ids.InstanceId
