"""Baseline policy of an experiment."""

import dataclasses

__all__ = ('PlainPolicy',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlainPolicy:
    """Random choice of owners, and a FIFO queue without ranks or deadlines."""

    name: str = 'plain'
