"""The link of a replayed machine may have room for a fragment."""

import dataclasses

__all__ = ('LinkDue',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkDue:
    """The link of a replayed machine may have room for a fragment."""
