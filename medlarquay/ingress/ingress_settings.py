"""Settings of an ingress that the platform determines."""

import dataclasses

from medlarquay import transport

__all__ = ('IngressSettings',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IngressSettings:
    """Settings of an ingress that the platform determines.

    Attributes
    ----------
    names : HeaderNames
        Names of the header fields that the ingress reads and sets.
    service : bytes
        Service whose backend server runs beside this node. Sent as the
        calling service of its requests and of those of other callers on this
        machine. Empty if the platform does not tell it; it is then taken
        from the instance list.
    sends_retry_after : bool
        Whether refusals have a ``Retry-After`` field. Its value is in
        fractions of a second, whereas HTTP defines whole seconds only.
    fleet_burst : int or None
        Number of unused retries of one service that all nodes together may
        accumulate; None for no limit.
    """

    names: transport.HeaderNames = dataclasses.field(
        default_factory=transport.HeaderNames,
    )
    service: bytes = b''
    sends_retry_after: bool = False
    fleet_burst: int | None = None
