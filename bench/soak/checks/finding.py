"""A broken promise that a soak saw."""

import dataclasses

from bench.soak.checks import finding_kind

__all__ = ('Finding',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """A broken promise that a soak saw.

    Attributes
    ----------
    kind : FindingKind
        What was broken.
    detail : str
        Request or node, with times in seconds from the start of the load.
    """

    kind: finding_kind.FindingKind
    detail: str

    def __str__(self) -> str:
        """Return one line."""
        return f'{self.kind.name}: {self.kind.value}: {self.detail}'
