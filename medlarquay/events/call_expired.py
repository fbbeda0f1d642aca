"""A call passed its deadline at the ingress without a result."""

import dataclasses

from medlarquay import ids

__all__ = ('CallExpired',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallExpired:
    """A call passed its deadline at the ingress without a result.

    Attributes
    ----------
    call_id : ids.CallId
        Call.
    """

    call_id: ids.CallId
