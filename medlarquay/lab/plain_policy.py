"""The baseline of an experiment."""

import dataclasses

__all__ = ('PlainPolicy',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlainPolicy:
    """A random owner, and one queue without ranks and deadlines."""

    name: str = 'plain'
