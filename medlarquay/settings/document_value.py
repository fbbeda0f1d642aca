"""Validated access to the JSON values of a document."""

import dataclasses
import enum
import functools
import json
import re
from collections.abc import Iterator
from typing import TypeVar

from medlarquay import errors, ids

__all__ = ('DocumentValue',)

_Choice = TypeVar('_Choice', bound=enum.Enum)

_STEP = 'check document'
# Enough to recognize the value, while the error still fits one log line.
_MAX_SHOWN_CHARACTERS = 60
# More than any object of the schema has; an object with more is rejected
# before its members are looked up.
_MAX_FIELDS = 64
# Field names repeat in each route, so their printed form is cached. The cache
# also has room for the 1,000 service names that a document may have.
_MAX_CACHED_NAMES = 2048


@dataclasses.dataclass(slots=True, kw_only=True)
class DocumentValue:
    """A JSON value of a document, with its path for error messages.

    Attributes
    ----------
    team : TeamName
        Team that owns the document.
    path : str
        Location of the value in the document, such as ``routes[2].rank``.
    content : object
        Value as decoded from JSON.
    """

    team: ids.TeamName
    path: str
    content: object

    def error(self, rule: str) -> errors.DocumentError:
        """Build the error that names path, value and broken rule."""
        # JSON escapes keep the text ASCII; a lone surrogate cannot be encoded
        # for the log.
        shown = json.dumps(self.content)
        if len(shown) > _MAX_SHOWN_CHARACTERS:
            shown = f'{shown[:_MAX_SHOWN_CHARACTERS]}...'
        return errors.DocumentError(
            f'{self.path} is {shown}: {rule}',
            step=_STEP,
            peer=f'teams/{ascii(self.team)[1:-1]}',
        )

    def members(self, *, limit: int) -> 'dict[str, DocumentValue]':
        """Return the members of an object by name.

        Raises
        ------
        DocumentError
            If the value is not an object or has more than ``limit`` members.
        """
        if not isinstance(self.content, dict):
            raise self.error('must be an object')
        if len(self.content) > limit:
            raise self.error(f'must have at most {limit} members')
        prefix = '' if self.path == 'document' else f'{self.path}.'
        return {
            name: DocumentValue(
                team=self.team,
                path=f'{prefix}{_shorten_name(name)}',
                content=member,
            )
            for name, member in self.content.items()
        }

    def fields(
        self,
        choices: type[_Choice],
    ) -> 'dict[_Choice, DocumentValue]':
        """Return the members of an object by field.

        Raises
        ------
        DocumentError
            If the value is not an object or has a member that is not a value
            of the enumeration ``choices``.
        """
        return {
            member.field_by_name(choices, name): member
            for name, member in self.members(limit=_MAX_FIELDS).items()
        }

    def field_by_name(self, choices: type[_Choice], name: str) -> _Choice:
        """Return the member of an enumeration of fields with a given name."""
        field = _members_by_value(choices).get(name)
        if field is None:
            raise self.error(f'unknown field; known are {_list_names(choices)}')
        return field

    def elements(self, *, limit: int) -> 'Iterator[DocumentValue]':
        """Iterate over the elements of an array of limited length."""
        if not isinstance(self.content, list):
            raise self.error('must be an array')
        if len(self.content) > limit:
            raise self.error(f'must have at most {limit} elements')
        for index, element in enumerate(self.content):
            yield DocumentValue(
                team=self.team,
                path=f'{self.path}[{index}]',
                content=element,
            )

    def text(self, pattern: re.Pattern[str], *, length: int, rule: str) -> str:
        """Return a string of limited length that matches a pattern.

        Parameters
        ----------
        pattern : re.Pattern
            Pattern for the whole string.
        length : int
            Maximum number of characters.
        rule : str
            Error text for a string that does not match the pattern.
        """
        if not isinstance(self.content, str):
            raise self.error('must be a string')
        if len(self.content) > length:
            raise self.error(f'must have at most {length} characters')
        if pattern.fullmatch(self.content) is None:
            raise self.error(rule)
        return self.content

    def integer(self, *, low: int, high: int) -> int:
        """Return an integer from ``low`` to ``high``, both included."""
        # bool is a subclass of int in Python, but true is not a JSON number.
        if isinstance(self.content, bool) or not isinstance(self.content, int):
            raise self.error('must be an integer')
        if low <= self.content <= high:
            return self.content
        raise self.error(f'must be {low} to {high}')

    def share(self) -> float:
        """Return a number from 0 to 1 as a float."""
        if isinstance(self.content, bool):
            raise self.error('must be a number')
        if not isinstance(self.content, int | float):
            raise self.error('must be a number')
        if 0 <= self.content <= 1:
            return float(self.content)
        raise self.error('must be 0 to 1')

    def choice(self, choices: type[_Choice]) -> _Choice:
        """Return the enumeration member whose value is this string."""
        if isinstance(self.content, str):
            chosen = _members_by_value(choices).get(self.content)
            if chosen is not None:
                return chosen
        raise self.error(f'must be one of {_list_names(choices)}')


def _list_names(choices: type[enum.Enum]) -> str:
    return ', '.join(choice.value for choice in choices)


@functools.lru_cache(maxsize=64)
def _members_by_value(choices: type[_Choice]) -> dict[str, _Choice]:
    return {choice.value: choice for choice in choices}


@functools.lru_cache(maxsize=_MAX_CACHED_NAMES)
def _shorten_name(name: str) -> str:
    shown = json.dumps(name)[1:-1]
    if len(shown) > _MAX_SHOWN_CHARACTERS:
        return f'{shown[:_MAX_SHOWN_CHARACTERS]}...'
    return shown
