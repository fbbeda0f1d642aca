"""Reader of the fields of a settings file."""

from collections.abc import Callable, Mapping
from typing import TypeVar

import logbook

from medlarquay import addresses, errors

__all__ = ('FieldReader',)

_LOG = logbook.Logger('settings')
_STEP = 'read settings file'

_Setting = TypeVar('_Setting')


class FieldReader:
    """Reads required and optional fields of a settings file.

    Parameters
    ----------
    fields : Mapping
        Text of each field of the file.

    Notes
    -----
    A node cannot run without its required fields, so a missing or invalid one
    is an error. An optional field that is invalid must not keep a node from
    starting: its default is used and a warning is logged.
    """

    def __init__(self, *, fields: Mapping[str, str]) -> None:
        self._fields = fields

    def require(
        self,
        name: str,
        parse: Callable[[str], _Setting],
    ) -> _Setting:
        """Parse a required field.

        Raises
        ------
        SettingError
            If the field is missing, or ``parse`` raises ``ValueError``; the
            message names the field, its value and the rule that it breaks.
        """
        text = self.require_text(name)
        try:
            return parse(text)
        except ValueError as cause:
            raise _error(name, text, str(cause)) from cause

    def require_text(self, name: str) -> str:
        """Return the text of a required field.

        Raises
        ------
        SettingError
            If the field is missing or empty.
        """
        text = self._fields.get(name, '')
        if text:
            return text
        raise _error(name, text, 'is required')

    def require_address(self, name: str) -> addresses.NodeAddress:
        """Parse a required field of the form ``host:port``.

        Raises
        ------
        SettingError
            If the field is missing or invalid.
        """
        return self.require(name, addresses.parse_address)

    def parse_or_default(
        self,
        name: str,
        parse: Callable[[str], _Setting],
        default: _Setting,
    ) -> _Setting:
        """Parse an optional field, or return its default.

        Parameters
        ----------
        name : str
            Name of the field.
        parse : callable
            Raises ``ValueError`` with the rule that an invalid text breaks.
        default : object
            Returned if the field is missing, empty or invalid.
        """
        text = self._fields.get(name, '')
        if not text:
            return default
        try:
            return parse(text)
        except ValueError as cause:
            _LOG.warning('{} is {!r}: {}; using {}', name, text, cause, default)
        return default


def _error(name: str, text: str, rule: str) -> errors.SettingError:
    return errors.SettingError(f'{name} is {text!r}: {rule}', step=_STEP)
