"""Open a call link to another node without a call to send."""

import dataclasses

from medlarquay import ids

__all__ = ('OpenLink',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpenLink:
    """Open a call link to another node without a call to send.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance of the owner.
    host : str
        IP address of its node.
    port : int
        Peer port of its node.
    """

    instance: ids.InstanceId
    host: str
    port: int
