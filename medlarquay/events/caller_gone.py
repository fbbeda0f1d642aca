"""A caller closed its connection before it received its answer."""

import dataclasses

from medlarquay import ids

__all__ = ('CallerGone',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerGone:
    """A caller closed its connection before it received its answer.

    Attributes
    ----------
    caller : ids.CallerId
        Connection of the caller.
    """

    caller: ids.CallerId
