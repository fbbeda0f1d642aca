"""Identity of a node and revisions of its active configuration."""

import dataclasses

__all__ = ('VersionView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionView:
    """Identity of a node and revisions of its active configuration.

    Attributes
    ----------
    instance, incarnation, region, data_centre : str
        Identity of the node.
    state : str
        Lifecycle state.
    tree_revision, list_revision : int
        Revisions of the active settings tree and instance list; 0 if there
        is none.
    confirmed_ms_ago : int or None
        Time since the source last confirmed the configuration, in
        milliseconds; None if it has not confirmed it since the node started
        or was paused.
    documents_rejected : int
        Number of documents whose newest version is not in force.
    """

    instance: str
    incarnation: str
    region: str
    data_centre: str
    state: str
    tree_revision: int
    list_revision: int
    confirmed_ms_ago: int | None
    documents_rejected: int
