"""Answer of a backend server as the ledger keeps it."""

import dataclasses

__all__ = ('RecordedAnswer',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordedAnswer:
    """Answer of a backend server as the ledger keeps it.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple[tuple[bytes, bytes], ...]
        Header fields in order; names in lower case.
    body : bytes
        Whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Bytes of body and header fields."""
        return len(self.body) + sum(
            len(name) + len(content) for name, content in self.headers
        )
