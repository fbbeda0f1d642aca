"""The deadline of a call passed at the ingress without a result."""

import dataclasses

from medlarquay import ids

__all__ = ('CallExpired',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallExpired:
    """The deadline of a call passed at the ingress without a result.

    Attributes
    ----------
    call_id : ids.CallId
        Call that expired.
    """

    call_id: ids.CallId
