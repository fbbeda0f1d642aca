"""Answer of a backend server, recorded for replay."""

import dataclasses

__all__ = ('RecordedAnswer',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordedAnswer:
    """Answer of a backend server, recorded for replay.

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
        """Bytes of the body and of the header names and values."""
        return len(self.body) + sum(
            len(name) + len(content) for name, content in self.headers
        )
