"""A process that a benchmark started."""

import pathlib
import signal
import subprocess
import sys
import time

__all__ = ('ManagedProcess',)

_STOP_S = 3
_START_S = 20
_LISTENING = 'listening '


class ManagedProcess:
    """A process of this project, started on loopback and ended by its id.

    Parameters
    ----------
    module : str
        Module to run.
    arguments : list of str
        Its arguments.
    name : str
        Name of its output files.
    directory : Path
        Directory of its output files.
    checkout : str
        Directory of the version to run; empty for the current one.
    """

    def __init__(
        self,
        *,
        module: str,
        arguments: list[str],
        name: str,
        directory: pathlib.Path,
        checkout: str = '',
    ) -> None:
        self.name = name
        self.output = directory / f'{name}.out'
        self.errors = directory / f'{name}.err'
        with self.output.open('ab') as out, self.errors.open('ab') as err:
            self._process = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                cwd=checkout or None,
            )

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative for a signal; None while it runs."""
        return self._process.poll()

    def port(self) -> int:
        """Return the port that a test double printed; wait for it."""
        until = time.monotonic() + _START_S
        while time.monotonic() < until and self.running:
            for line in self.lines():
                if line.startswith(_LISTENING):
                    return int(line.removeprefix(_LISTENING))
            time.sleep(0.02)
        raise RuntimeError(
            f'{self.name} did not start: {self.errors.read_text()[-2000:]}',
        )

    def lines(self) -> list[str]:
        """Return the whole lines of the standard output so far."""
        text = self.output.read_text()
        return text.splitlines() if text.endswith('\n') else []

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal."""
        if self.running:
            self._process.send_signal(signal_number)

    def wait(self, timeout_s: float) -> bool:
        """Wait for the end; return whether it came in time."""
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def stop(self) -> None:
        """End the process, also when it was paused."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        if not self.wait(_STOP_S):
            self.send_signal(signal.SIGKILL)
            self.wait(_STOP_S)
