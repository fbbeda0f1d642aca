"""Type-checked reading of the fields of a decoded array."""

import enum
from collections.abc import Sequence
from typing import TypeVar

from medlarquay import errors

__all__ = ('FieldReader',)

_Kind = TypeVar('_Kind')
_Choice = TypeVar('_Choice', bound=enum.Enum)

# Integers up to this are exact as floats, also in milliseconds.
_MAX_INTEGER = 1 << 53
_STEP = 'decode message'


class FieldReader:
    """Reads the fields of one decoded array in order and checks their types.

    Parameters
    ----------
    fields : sequence
        Decoded CBOR array.
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
        """Return the next field, which must be of exactly the given type.

        Raises
        ------
        DecodeError
            If the field is missing or of another type.
        """
        field = self._next()
        # bool is a subclass of int, so isinstance would accept it for int.
        if type(field) is not kind:
            raise self.error(f'is {type(field).__name__}, not {kind.__name__}')
        if isinstance(field, int) and abs(field) > _MAX_INTEGER:
            raise self.error('is out of range')
        return field

    def take_length(self, limit: int) -> int:
        """Return the next field, an integer from 0 to a limit.

        Raises
        ------
        DecodeError
            If the field is missing, of another type or out of range.
        """
        length = self.take(int)
        if 0 <= length <= limit:
            return length
        raise self.error(f'is not 0 to {limit}')

    def take_optional(self, kind: type[_Kind]) -> _Kind | None:
        """Return the next field, of the given type or null."""
        if self._position < len(self._fields):
            if self._fields[self._position] is None:
                self._position += 1
                return None
        return self.take(kind)

    def take_choice(self, choices: type[_Choice]) -> _Choice:
        """Return the next field as the enumeration member with that value."""
        field = self._next()
        try:
            return choices(field)
        except ValueError as cause:
            raise self.error(f'is not a {choices.__name__}') from cause

    def take_number(self) -> float:
        """Return the next field, an integer or a finite float, as a float."""
        field = self._next()
        if type(field) is float or type(field) is int:
            if abs(field) <= _MAX_INTEGER:
                return float(field)
            raise self.error('is out of range')
        raise self.error(f'is {type(field).__name__}, not a number')

    def take_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return the next field as pairs of header name and value."""
        pairs = []
        for pair in self.take(list):
            if type(pair) is not list or len(pair) != 2:
                raise self.error('is not a list of pairs')
            pairs.append(self._check_pair(pair[0], pair[1]))
        return tuple(pairs)

    def take_nested(self) -> 'FieldReader | None':
        """Return a reader of the next field, a nested array; None for null."""
        field = self.take_optional(list)
        if field is None:
            return None
        return FieldReader(fields=field, peer=self._peer)

    def nested(self, fields: object) -> 'FieldReader':
        """Return a reader of one element of the field read last.

        Raises
        ------
        DecodeError
            If the element is not an array.
        """
        if type(fields) is list:
            return FieldReader(fields=fields, peer=self._peer)
        raise self.error('is not a list of arrays')

    def expect_end(self) -> None:
        """Check that all fields have been read.

        Raises
        ------
        DecodeError
            If the array has more fields than the message.
        """
        if self._position != len(self._fields):
            raise self.error('must be the last, but the array has more fields')

    def error(self, problem: str) -> errors.DecodeError:
        """Return an error about the field read last.

        Parameters
        ----------
        problem : str
            Continues the message ``field N ...``.
        """
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
        field = self._fields[self._position]
        self._position += 1
        return field
