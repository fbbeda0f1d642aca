"""One line of a node's log."""

import dataclasses
import re
import shlex

__all__ = ('LogLine',)

# Whoever collects the lines may have put the name of the node before them.
_PATTERN = re.compile(
    r'(?P<before>.*?)(?P<time>\d{4}-\d\d-\d\dT[\d:.]+Z) '
    r'(?P<level>[A-Z]+) (?P<part>[\w-]+): (?P<text>.*)',
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line of a node's log.

    Attributes
    ----------
    source : str
        File, and what stands before the line in it.
    time : str
        UTC time, which sorts as text.
    part : str
        Part of the node.
    text : str
        What the part wrote.
    """

    source: str
    time: str
    part: str
    text: str

    @classmethod
    def parse(cls, line: str, *, path: str) -> 'LogLine | None':
        """Return the line; None if it is not one of a node."""
        found = _PATTERN.fullmatch(line.rstrip('\n'))
        if found is None:
            return None
        before = ' '.join(found.group('before').split())
        return cls(
            source=f'{path} {before}'.rstrip(),
            time=found.group('time'),
            part=found.group('part'),
            text=found.group('text'),
        )

    @property
    def fields(self) -> dict[str, str]:
        """Values by name; empty for a line without fields."""
        try:
            words = shlex.split(self.text)
        except ValueError:
            return {}
        pairs = (word.partition('=') for word in words)
        return {name: value for name, equals, value in pairs if equals}
