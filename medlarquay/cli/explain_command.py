"""Arguments of ``medlarquay explain``: how a node would route a request."""

import dataclasses

from medlarquay import addresses

__all__ = ('ExplainCommand',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExplainCommand:
    """Arguments of ``medlarquay explain``: how a node would route a request.

    Attributes
    ----------
    node : addresses.NodeAddress
        Admin address of the node.
    host, target, method : str
        Host header, path with query, and method of the request.
    as_json : bool
        Whether to print JSON.
    """

    node: addresses.NodeAddress
    host: str
    target: str
    method: str
    as_json: bool
