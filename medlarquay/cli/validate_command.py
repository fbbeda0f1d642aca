"""Check a document before it is published."""

import dataclasses

from medlarquay import ids

__all__ = ('ValidateCommand',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ValidateCommand:
    """Check a document before it is published.

    Attributes
    ----------
    path : str
        File with the document.
    team : ids.TeamName
        Team that owns it.
    as_json : bool
        Whether to print JSON.
    """

    path: str
    team: ids.TeamName
    as_json: bool
