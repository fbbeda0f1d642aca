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
    calling_service: bytes | None = b'medlarquay-calling-service'
    expected_instance: bytes | None = None
    not_run: bytes = b'medlarquay-shed'
    receipt: bytes | None = None

    def request_id_of(self, headers: Iterable[tuple[bytes, bytes]]) -> str:
        """Return the id of a request for log lines; empty if it has none."""
        content = _find(self.request_id, headers)
        return content.decode('ascii', 'replace')

    def caller_of(self, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
        """Return the service that sent a request; empty if not known."""
        return _find(self.calling_service, headers)

    @property
    def set_by_system(self) -> frozenset[bytes]:
        """Fields that the mesh sets, replacing those that the caller sent."""
        names = (self.calling_service, self.expected_instance)
        return frozenset(name for name in names if name is not None)


def _find(
    wanted: bytes | None,
    headers: Iterable[tuple[bytes, bytes]],
) -> bytes:
    for name, content in headers:
        if name == wanted:
            return content
    return b''
