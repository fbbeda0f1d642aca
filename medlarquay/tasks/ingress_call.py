"""A call under way at the ingress."""

import dataclasses

from medlarquay import ids

__all__ = ('IngressCall',)


@dataclasses.dataclass(slots=True, kw_only=True)
class IngressCall:
    """A call under way at the ingress.

    Attributes
    ----------
    caller : CallerId
        Connection that waits for the answer.
    instance : InstanceId
        Owner that the request was sent to.
    """

    caller: ids.CallerId
    instance: ids.InstanceId
