"""A request that was suspected of a crash completed without one."""

import dataclasses

from medlarquay import ids

__all__ = ('SuspicionCleared',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SuspicionCleared:
    """A request that was suspected of a crash completed without one.

    Attributes
    ----------
    service : ids.ServiceName
        Service of the backend server.
    fingerprint : ids.Fingerprint
        Fingerprint of the request.
    """

    service: ids.ServiceName
    fingerprint: ids.Fingerprint
