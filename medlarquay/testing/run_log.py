"""Record of the runs of a backend server double."""

import dataclasses
import json
import time

from medlarquay.testing import http_exchange, run_entry, serving

__all__ = ('RunLog',)


class RunLog:
    """Keeps the runs in memory and prints them to the standard output.

    A line is printed at the start and at the end of each run, so that the
    record survives when the process is killed.

    Parameters
    ----------
    quiet : bool
        Whether the record is kept in memory only.
    """

    def __init__(self, *, quiet: bool) -> None:
        self._entries: list[run_entry.RunEntry] = []
        self._quiet = quiet

    def start(self, exchange: http_exchange.HttpExchange) -> run_entry.RunEntry:
        """Record the start of a run."""
        entry = run_entry.RunEntry(
            request=exchange.headers.get('x-request-id', ''),
            key=exchange.headers.get('idempotency-key', ''),
            target=exchange.target,
            started_at=time.time(),
        )
        self._entries.append(entry)
        self._print(entry)
        return entry

    def finish(self, entry: run_entry.RunEntry, state: str) -> None:
        """Record the end of a run."""
        entry.state = state
        entry.ended_at = time.time()
        self._print(entry)

    def encode(self) -> bytes:
        """Return the record as JSON."""
        entries = [dataclasses.asdict(entry) for entry in self._entries]
        return json.dumps(entries).encode()

    def _print(self, entry: run_entry.RunEntry) -> None:
        if not self._quiet:
            serving.print_line(entry.to_line())
