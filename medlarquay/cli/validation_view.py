"""The result of checking a document."""

import dataclasses

__all__ = ('ValidationView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ValidationView:
    """The result of checking a document.

    Attributes
    ----------
    valid : bool
        Whether the document would be accepted.
    services, routes : int
        Entries of an accepted document.
    error : str or None
        The broken rule with its path and value.
    """

    valid: bool
    services: int = 0
    routes: int = 0
    error: str | None = None
