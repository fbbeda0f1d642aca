"""What the callers' side of an ingress knows of its surroundings."""

import dataclasses

from medlarquay import transport

__all__ = ('IngressSettings',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IngressSettings:
    """What the callers' side of an ingress knows of its surroundings.

    Attributes
    ----------
    names : HeaderNames
        Header fields that are read and set.
    service : bytes
        Service whose backend server runs beside this node; its requests and
        those of the callers on this machine carry it.
    tells_return : bool
        Whether refusals say when to come back, in fractions of a second;
        HTTP itself knows whole seconds only.
    fleet_burst : int or None
        Retries that all nodes together may save for one service; None where
        nothing bounds them.
    """

    names: transport.HeaderNames = dataclasses.field(
        default_factory=transport.HeaderNames,
    )
    service: bytes = b''
    sends_retry_after: bool = False
    fleet_burst: int | None = None
