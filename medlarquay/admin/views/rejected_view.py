"""Version of a document that is not in force."""

import dataclasses

__all__ = ('RejectedView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RejectedView:
    """Version of a document that is not in force.

    Attributes
    ----------
    team : str
        Team that owns the document.
    revision : int
        Newest revision, which was rejected.
    revision_in_force : int
        Revision of the last accepted version; 0 if none is known.
    reason : str
        Path, value and rule for which the newest revision was rejected.
    """

    team: str
    revision: int
    revision_in_force: int
    reason: str
