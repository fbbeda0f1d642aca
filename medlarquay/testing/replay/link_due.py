"""Event: the link may have room for another fragment."""

import dataclasses

__all__ = ('LinkDue',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkDue:
    """Event: the link of the replayed owner may have room for a fragment."""
