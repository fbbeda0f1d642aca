"""An entry of the instance list as the node holds it."""

import dataclasses

__all__ = ('MemberView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberView:
    """An entry of the instance list as the node holds it.

    Attributes
    ----------
    instance : str
        Instance.
    revision : int
        Revision of the entry.
    team, service : str
        Service that it runs.
    region, data_centre : str
        Where it runs.
    host, caller_port, peer_port : str, int, int
        Addresses of its node.
    slots : int
        Requests that it runs at once.
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
