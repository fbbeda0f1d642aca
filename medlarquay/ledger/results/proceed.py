"""The key is new and recorded as running; run the request."""

import dataclasses

__all__ = ('Proceed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Proceed:
    """The key is new and recorded as running; run the request."""
