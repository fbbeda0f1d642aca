"""A process started by a benchmark."""

import pathlib
import signal
import subprocess
import sys
import time

__all__ = ('ManagedProcess',)

_STOP_TIMEOUT_S = 3
_START_TIMEOUT_S = 20
_LISTENING = 'listening '


class ManagedProcess:
    """A Python process started by a benchmark and ended by its process id.

    Parameters
    ----------
    module : str
        Module to run as a program.
    arguments : list of str
        Arguments of the program.
    name : str
        Name of its output files.
    directory : Path
        Directory of its output files.
    checkout : str
        Checkout to run the module from; empty for the current directory.
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
        """Process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code; negated signal number if killed, None while it runs."""
        return self._process.poll()

    def port(self) -> int:
        """Wait for the port that a test double prints, and return it.

        Raises
        ------
        RuntimeError
            If the process ended, or printed no port within 20 s.
        """
        give_up_at = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < give_up_at and self.running:
            for line in self.lines():
                if line.startswith(_LISTENING):
                    return int(line.removeprefix(_LISTENING))
            time.sleep(0.02)
        raise RuntimeError(
            f'{self.name} printed no port: {self.errors.read_text()[-2000:]}',
        )

    def lines(self) -> list[str]:
        """Return the lines of the standard output so far.

        The list is empty while the last line is incomplete.
        """
        text = self.output.read_text()
        return text.splitlines() if text.endswith('\n') else []

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.running:
            self._process.send_signal(signal_number)

    def wait(self, timeout_s: float) -> bool:
        """Wait until the process ends; return whether it did in time."""
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def stop(self) -> None:
        """End the process, also when it is paused (SIGSTOP).

        Sends SIGTERM, and SIGKILL after 3 s.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        if not self.wait(_STOP_TIMEOUT_S):
            self.send_signal(signal.SIGKILL)
            self.wait(_STOP_TIMEOUT_S)
