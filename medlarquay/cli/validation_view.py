"""Result of the validation of a team document."""

import dataclasses

__all__ = ('ValidationView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ValidationView:
    """Result of the validation of a team document.

    Attributes
    ----------
    valid : bool
        Whether the nodes would accept the document.
    services, routes : int
        Number of entries of a valid document; 0 if it is not valid.
    error : str or None
        Rule that the document breaks, with path and value.
    """

    valid: bool
    services: int = 0
    routes: int = 0
    error: str | None = None
