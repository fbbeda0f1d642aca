"""Checked access to the fields of a decoded array."""

import enum
from collections.abc import Sequence
from typing import TypeVar

from medlarquay import errors

__all__ = ('Checked',)

_Kind = TypeVar('_Kind')
_Choice = TypeVar('_Choice', bound=enum.Enum)

_STEP = 'decode message'


class Checked:
    """Reads the fields of one decoded array in order and checks their types.

    Parameters
    ----------
    fields : sequence
        Decoded array.
    peer : str
        Peer that sent it, for errors.
    """

    __slots__ = ('_fields', '_peer', '_position')

    def __init__(self, *, fields: Sequence[object], peer: str) -> None:
        self._fields = fields
        self._peer = peer
        self._position = 0

    @property
    def peer(self) -> str:
        """Peer that sent the array."""
        return self._peer

    @property
    def length(self) -> int:
        """Number of fields."""
        return len(self._fields)

    def take(self, kind: type[_Kind]) -> _Kind:
        """Return the next field, which must be exactly of one type.

        Raises
        ------
        DecodeError
            If the field is missing or of another type.
        """
        found = self._next()
        # bool is a subclass of int, so isinstance would accept it for int.
        if type(found) is not kind:
            raise self.error(f'is {type(found).__name__}, not {kind.__name__}')
        return found

    def take_optional(self, kind: type[_Kind]) -> _Kind | None:
        """Return the next field, which may be null."""
        if self._position < len(self._fields):
            if self._fields[self._position] is None:
                self._position += 1
                return None
        return self.take(kind)

    def take_choice(self, choices: type[_Choice]) -> _Choice:
        """Return the next field as a member of an enumeration."""
        found = self._next()
        try:
            return choices(found)
        except ValueError as cause:
            raise self.error(f'is not a {choices.__name__}') from cause

    def take_number(self) -> float:
        """Return the next field, an integer or a float."""
        found = self._next()
        if type(found) is float or type(found) is int:
            return float(found)
        raise self.error(f'is {type(found).__name__}, not a number')

    def take_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return the next field as header fields."""
        pairs = []
        for pair in self.take(list):
            if type(pair) is not list or len(pair) != 2:
                raise self.error('is not a list of pairs')
            pairs.append(self._check_pair(pair[0], pair[1]))
        return tuple(pairs)

    def take_nested(self) -> 'Checked | None':
        """Return the next field as a nested array, which may be null."""
        found = self.take_optional(list)
        if found is None:
            return None
        return Checked(fields=found, peer=self._peer)

    def nested(self, fields: object) -> 'Checked':
        """Return a reader of an array inside the field read last."""
        if type(fields) is list:
            return Checked(fields=fields, peer=self._peer)
        raise self.error('is not a list of arrays')

    def finish(self) -> None:
        """Check that no field is left.

        Raises
        ------
        DecodeError
            If the array has more fields than the message.
        """
        if self._position != len(self._fields):
            raise self.error('is one too many')

    def error(self, problem: str) -> errors.DecodeError:
        """Return the error for the field read last."""
        return errors.DecodeError(
            f'field {self._position} {problem}',
            step=_STEP,
            peer=self._peer,
        )

    def _check_pair(self, name: object, value: object) -> tuple[bytes, bytes]:
        if type(name) is bytes and type(value) is bytes:
            return name, value
        raise self.error('is not a pair of byte strings')

    def _next(self) -> object:
        if self._position >= len(self._fields):
            raise self.error('is missing')
        found = self._fields[self._position]
        self._position += 1
        return found
