"""Arguments of ``medlarquay validate``: check before publishing."""

import dataclasses

from medlarquay import ids

__all__ = ('ValidateCommand',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ValidateCommand:
    """Arguments of ``medlarquay validate``: check before publishing.

    Attributes
    ----------
    path : str
        File with the team document.
    team : ids.TeamName
        Team that owns the document.
    as_json : bool
        Whether to print JSON.
    """

    path: str
    team: ids.TeamName
    as_json: bool
