"""Which configuration a node runs."""

import dataclasses

__all__ = ('VersionView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionView:
    """Which configuration a node runs.

    Attributes
    ----------
    instance, incarnation, region, data_centre : str
        The node.
    state : str
        State of the lifecycle.
    tree_revision, list_revision : int
        Revisions in force; 0 if there is none.
    confirmed_ms_ago : int or None
        Age of the last confirmation by the source, in milliseconds.
    """

    instance: str
    incarnation: str
    region: str
    data_centre: str
    state: str
    tree_revision: int
    list_revision: int
    confirmed_ms_ago: int | None
