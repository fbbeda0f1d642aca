"""A request is suspected: it was in flight when a backend server crashed."""

import dataclasses

from medlarquay import ids

__all__ = ('CrashSuspected',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashSuspected:
    """A request is suspected: it was in flight when a backend server crashed.

    Attributes
    ----------
    service : ids.ServiceName
        Service of the backend server.
    fingerprint : ids.Fingerprint
        Fingerprint of the request.
    crash_id : str
        Identifier of the crash: instance, incarnation and sequence number.
    only_suspect : bool
        Whether the request was the only suspect in flight.
    """

    service: ids.ServiceName
    fingerprint: ids.Fingerprint
    crash_id: str
    only_suspect: bool
