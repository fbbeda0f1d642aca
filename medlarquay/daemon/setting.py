"""One setting of the daemon."""

import dataclasses
from collections.abc import Callable

__all__ = ('Setting',)

_PREFIX = 'MEDLARQUAY_'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Setting:
    """One setting of the daemon.

    Attributes
    ----------
    name : str
        Flag without dashes.
    check : callable
        Returns the value that a text stands for; raises ``ValueError`` with
        the rule that the text breaks.
    summary : str
        What the setting is for.
    default : str or None
        Text of the default; None if the setting is required.
    repeated : bool
        Whether the flag may occur several times.
    attribute : str
        Attribute of ``NodeSettings`` if it is not named after the flag, as
        when its unit differs.
    """

    name: str
    parse: Callable[[str], object]
    summary: str
    default: str | None = None
    repeated: bool = False
    attribute: str = ''

    @property
    def flag(self) -> str:
        """Flag on the command line."""
        return f'--{self.name}'

    @property
    def variable(self) -> str:
        """Environment variable."""
        return _PREFIX + self._identifier.upper()

    @property
    def field(self) -> str:
        """Field of ``NodeSettings``."""
        return self.attribute or self._identifier

    @property
    def _identifier(self) -> str:
        return self.name.replace('-', '_')
