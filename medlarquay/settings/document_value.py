"""Checked access to one value of a parsed document."""

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
# Long enough to recognize the value, short enough for one log line.
_SHOWN_CHARACTERS = 60
# No type has that many fields; more are not worth listing.
_MAX_FIELDS = 64
# Names of fields repeat in each route; names of services are as many as a
# document may have.
_KNOWN_NAMES = 2048


@dataclasses.dataclass(slots=True, kw_only=True)
class DocumentValue:
    """One value of a parsed document with its path.

    Attributes
    ----------
    team : TeamName
        Team that owns the document.
    path : str
        Where the value is, such as ``routes[2].rank``.
    content : object
        The value as parsed from JSON.
    """

    team: ids.TeamName
    path: str
    content: object

    def error(self, rule: str) -> errors.DocumentError:
        """Return the error for a value that breaks a rule."""
        # JSON escapes keep the text ASCII: a lone surrogate cannot be logged.
        shown = json.dumps(self.content)
        if len(shown) > _SHOWN_CHARACTERS:
            shown = f'{shown[:_SHOWN_CHARACTERS]}...'
        return errors.DocumentError(
            f'{self.path} is {shown}: {rule}',
            step=_STEP,
            peer=f'teams/{ascii(self.team)[1:-1]}',
        )

    def members(self, *, limit: int) -> 'dict[str, DocumentValue]':
        """Return the members of an object by name."""
        if not isinstance(self.content, dict):
            raise self.error('must be an object')
        if len(self.content) > limit:
            raise self.error(f'must have at most {limit} members')
        prefix = '' if self.path == 'document' else f'{self.path}.'
        return {
            name: DocumentValue(
                team=self.team,
                path=f'{prefix}{_shown_name(name)}',
                content=member,
            )
            for name, member in self.content.items()
        }

    def fields(
        self,
        known: type[_Choice],
    ) -> 'dict[_Choice, DocumentValue]':
        """Return the members of an object whose names are enumerated."""
        return {
            member.field_by_name(known, name): member
            for name, member in self.members(limit=_MAX_FIELDS).items()
        }

    def field_by_name(self, known: type[_Choice], name: str) -> _Choice:
        """Return the field that a name stands for."""
        found = _by_value(known).get(name)
        if found is None:
            raise self.error(f'unknown field; known are {_list_names(known)}')
        return found

    def elements(self, *, limit: int) -> 'Iterator[DocumentValue]':
        """Iterate over the elements of an array."""
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
        """Return a string of limited length that matches a pattern."""
        if not isinstance(self.content, str):
            raise self.error('must be a string')
        if len(self.content) > length:
            raise self.error(f'must have at most {length} characters')
        if pattern.fullmatch(self.content) is None:
            raise self.error(rule)
        return self.content

    def integer(self, *, low: int, high: int) -> int:
        """Return an integer within a range."""
        # bool is a subclass of int, and true is no number in JSON.
        if isinstance(self.content, bool) or not isinstance(self.content, int):
            raise self.error('must be an integer')
        if low <= self.content <= high:
            return self.content
        raise self.error(f'must be {low} to {high}')

    def share(self) -> float:
        """Return a number from 0 to 1."""
        if isinstance(self.content, bool):
            raise self.error('must be a number')
        if not isinstance(self.content, int | float):
            raise self.error('must be a number')
        if 0 <= self.content <= 1:
            return float(self.content)
        raise self.error('must be 0 to 1')

    def choice(self, choices: type[_Choice]) -> _Choice:
        """Return a member of an enumeration of strings."""
        if isinstance(self.content, str):
            found = _by_value(choices).get(self.content)
            if found is not None:
                return found
        raise self.error(f'must be one of {_list_names(choices)}')


def _list_names(choices: type[enum.Enum]) -> str:
    return ', '.join(choice.value for choice in choices)


@functools.lru_cache(maxsize=64)
def _by_value(choices: type[_Choice]) -> dict[str, _Choice]:
    return {choice.value: choice for choice in choices}


@functools.lru_cache(maxsize=_KNOWN_NAMES)
def _shown_name(name: str) -> str:
    shown = json.dumps(name)[1:-1]
    if len(shown) > _SHOWN_CHARACTERS:
        return f'{shown[:_SHOWN_CHARACTERS]}...'
    return shown
