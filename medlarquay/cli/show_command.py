"""Arguments of ``medlarquay show``: one admin page of a node."""

import dataclasses

from medlarquay import addresses
from medlarquay.cli import show_topic

__all__ = ('ShowCommand',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowCommand:
    """Arguments of ``medlarquay show``: one admin page of a node.

    Attributes
    ----------
    topic : show_topic.ShowTopic
        Page to show.
    node : addresses.NodeAddress
        Admin address of the node.
    as_json : bool
        Whether to print JSON.
    """

    topic: show_topic.ShowTopic
    node: addresses.NodeAddress
    as_json: bool
