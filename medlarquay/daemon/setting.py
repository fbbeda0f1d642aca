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
        Name of the flag without the leading dashes.
    parse : callable
        Returns the value of a text; raises ``ValueError`` with the rule that
        an invalid text breaks.
    summary : str
        Help text.
    default : str or None
        Default, as a text to parse; None if the setting is required.
    repeated : bool
        Whether the flag may occur several times, and the variable may list
        several values, separated by commas.
    attribute : str
        Attribute of ``NodeSettings``, if it is not named after the flag, for
        example because its unit differs.
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
        """Name of the environment variable."""
        return _PREFIX + self._identifier.upper()

    @property
    def field(self) -> str:
        """Name of the field of ``NodeSettings``."""
        return self.attribute or self._identifier

    @property
    def _identifier(self) -> str:
        return self.name.replace('-', '_')
