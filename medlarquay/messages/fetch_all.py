"""Request of a child for all records, after a digest mismatch."""

import dataclasses

__all__ = ('FetchAll',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FetchAll:
    """Request of a child for all records, after a digest mismatch."""
