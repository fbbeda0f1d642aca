"""Run the request; its key is new and recorded as running."""

import dataclasses

__all__ = ('Proceed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Proceed:
    """Run the request; its key is new and recorded as running."""
