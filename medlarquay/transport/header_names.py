"""Names of the HTTP header fields that the mesh reads and sets."""

import dataclasses
from collections.abc import Iterable

__all__ = ('HeaderNames',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Names of the HTTP header fields that the mesh reads and sets.

    Names are in lower case. A name that is None is neither read nor set.

    Attributes
    ----------
    request_id : bytes or None
        Id of one attempt of a caller; the backend server echoes it in its
        answer.
    calling_service : bytes or None
        Service on the machine where the request originated.
    expected_instance : bytes or None
        The only backend server that may run the request.
    not_run : bytes
        Set in the answer of a backend server that did not run the request.
    receipt : bytes or None
        Set by a backend server in each successful answer; proves that the
        answer is its own.
    """

    request_id: bytes | None = None
    calling_service: bytes | None = None
    expected_instance: bytes | None = None
    not_run: bytes = b'medlarquay-shed'
    receipt: bytes | None = None

    def request_id_of(self, headers: Iterable[tuple[bytes, bytes]]) -> str:
        """Return the id of a request for log lines; empty if it has none."""
        if self.request_id is None:
            return ''
        for name, content in headers:
            if name == self.request_id:
                return content.decode('ascii', 'replace')
        return ''

    @property
    def set_by_system(self) -> frozenset[bytes]:
        """Fields that the mesh sets, replacing those that the caller sent."""
        names = (self.calling_service, self.expected_instance)
        return frozenset(name for name in names if name is not None)
