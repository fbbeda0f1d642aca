"""Entry of the instance list in the configuration of a node."""

import dataclasses

__all__ = ('MemberView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberView:
    """Entry of the instance list in the configuration of a node.

    Attributes
    ----------
    instance : str
        Id of the instance.
    revision : int
        Revision of the entry.
    team, service : str
        Service that the instance runs.
    region, data_centre : str
        Location of the instance.
    host, caller_port, peer_port : str, int, int
        IP address and ports of the node of the instance.
    slots : int
        Number of requests that the instance runs concurrently.
    state : str
        Live or leaving.
    """

    instance: str
    revision: int
    team: str
    service: str
    region: str
    data_centre: str
    host: str
    caller_port: int
    peer_port: int
    slots: int
    state: str
