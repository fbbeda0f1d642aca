"""Record of a backend server about one run of a request."""

import dataclasses
import json

__all__ = ('RunEntry',)


@dataclasses.dataclass(slots=True, kw_only=True)
class RunEntry:
    """Record of a backend server about one run of a request.

    Attributes
    ----------
    request : str
        Value of ``x-request-id``; empty when the request had none.
    key : str
        Idempotency key; empty when the request had none.
    target : str
        Path and query.
    started_at, ended_at : float
        Unix times in seconds; the end is 0 while the request runs, and
        stays 0 if the process ends first.
    state : str
        ``running``, ``completed``, ``cancelled`` (the connection closed) or
        ``expired`` (the deadline passed).
    backend : str
        Name of the backend server; empty in the record that the backend
        server itself keeps.
    """

    request: str
    key: str
    target: str
    started_at: float
    ended_at: float = 0
    state: str = 'running'
    backend: str = ''

    def to_line(self) -> str:
        """Encode the entry as one line of JSON.

        The line is an array of the field values, because
        ``dataclasses.asdict`` takes 23 us, more than the rest of recording.
        """
        return json.dumps([
            self.request,
            self.key,
            self.target,
            self.started_at,
            self.ended_at,
            self.state,
            self.backend,
        ])

    @classmethod
    def from_line(cls, line: str) -> 'RunEntry':
        """Decode an entry from a line of ``to_line``."""
        names = [field.name for field in dataclasses.fields(cls)]
        return cls(**dict(zip(names, json.loads(line), strict=True)))
