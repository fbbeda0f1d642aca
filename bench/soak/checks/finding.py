"""Broken promise that a check found."""

import dataclasses

from bench.soak.checks import finding_kind

__all__ = ('Finding',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """Broken promise that a check found.

    Attributes
    ----------
    kind : FindingKind
        Promise that was broken.
    detail : str
        Request or node concerned, with times in seconds from the start of the
        load.
    """

    kind: finding_kind.FindingKind
    detail: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f'{self.kind.name}: {self.kind.value}: {self.detail}'
