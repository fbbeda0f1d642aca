"""A failed request is not attempted again."""

import dataclasses

from medlarquay import states

__all__ = ('RetryDenied',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryDenied:
    """A failed request is not attempted again.

    Attributes
    ----------
    denial : RetryDenial
        Why not.
    """

    denial: states.RetryDenial
