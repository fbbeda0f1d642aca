"""Parsed line of the log of a node."""

import dataclasses
import re
import shlex

__all__ = ('LogLine',)

# A log collector may have put the name of the node before each line.
_PATTERN = re.compile(
    r'(?P<before>.*?)(?P<time>\d{4}-\d\d-\d\dT[\d:.]+Z) '
    r'(?P<level>[A-Z]+) (?P<part>[\w-]+): (?P<text>.*)',
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """Parsed line of the log of a node.

    Attributes
    ----------
    source : str
        Path of the file, and the text before the time stamp.
    time : str
        UTC time stamp; sorts by time as text.
    part : str
        Name of the logger, such as ``ingress``.
    text : str
        Message.
    """

    source: str
    time: str
    part: str
    text: str

    @classmethod
    def parse(cls, line: str, *, path: str) -> 'LogLine | None':
        """Parse one line; return None if it is not in the format of a node."""
        match = _PATTERN.fullmatch(line.rstrip('\n'))
        if match is None:
            return None
        before = ' '.join(match.group('before').split())
        return cls(
            source=f'{path} {before}'.rstrip(),
            time=match.group('time'),
            part=match.group('part'),
            text=match.group('text'),
        )

    @property
    def fields(self) -> dict[str, str]:
        """Values of the ``name=value`` pairs by name; empty if it has none."""
        try:
            words = shlex.split(self.text)
        except ValueError:
            return {}
        pairs = (word.partition('=') for word in words)
        return {name: value for name, equals, value in pairs if equals}
