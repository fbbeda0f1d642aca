"""Small platform of real processes on loopback addresses."""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from http import client as http_client
from types import TracebackType

__all__ = ('SmallPlatform',)

_START_S = 20
_ROLES = ('outbound', 'inbound', 'readiness', 'app', 'low', 'high')


class SmallPlatform:
    """Runs nodes and the stand-ins as processes; kills them at the end.

    Parameters
    ----------
    nodes : int
        Nodes and backend servers; those with an even number run ``desk``,
        the others ``portal``.
    directory : Path
        Directory for the settings files and the output of the processes.
    """

    def __init__(self, *, nodes: int, directory: pathlib.Path) -> None:
        self._directory = directory
        self._ports = dict(zip(_ROLES, _free_ports(len(_ROLES)), strict=True))
        low, high = sorted((self._ports['low'], self._ports['high']))
        self._ports.update(low=low, high=high)
        self._stand_ins = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'medlarquay.platform.testing.platform_world',
                f'--nodes={nodes}',
                f'--port={self._ports["app"]}',
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._stand_ins.stdout is not None
        self._store = self._stand_ins.stdout.readline().split()[1]
        self._nodes: dict[int, subprocess.Popen[bytes]] = {}
        for number in range(nodes):
            self.start(number)

    def __enter__(self) -> 'SmallPlatform':
        """Wait until all nodes are ready."""
        for number in self._nodes:
            self.wait_ready(number)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes."""
        for process in (*self._nodes.values(), self._stand_ins):
            process.kill()
            process.wait()

    def start(self, number: int) -> None:
        """Start a node."""
        settings = self._directory / f'{number}.conf'
        settings.write_text(self._settings(number))
        with self.log(number).open('ab') as output:
            self._nodes[number] = subprocess.Popen(
                [sys.executable, '-m', 'medlarquay.platform.main'],
                env={**os.environ, 'MEDLARQUAY_CONFIG': str(settings)},
                stdout=output,
                stderr=output,
            )

    def send_command(self, line: str) -> None:
        """Send a command to the process of the stand-ins."""
        assert self._stand_ins.stdin is not None
        self._stand_ins.stdin.write(f'{line}\n')
        self._stand_ins.stdin.flush()

    def log(self, number: int) -> pathlib.Path:
        """Return the output file of a node."""
        return self._directory / f'{number}.log'

    def signal(self, number: int, sent_signal: signal.Signals) -> None:
        """Send a signal to a node."""
        self._nodes[number].send_signal(sent_signal)

    def wait_end(self, number: int, timeout_s: float) -> int:
        """Wait for the end of a node; return its exit status."""
        return self._nodes[number].wait(timeout_s)

    def ready(self, number: int) -> bool:
        """Return whether the readiness probe of a node succeeds."""
        try:
            return self._request(number, 'readiness', 'GET', '/ready')[0] == 200
        except OSError:
            return False

    def wait_ready(self, number: int) -> None:
        """Wait until a node is ready."""
        deadline = time.monotonic() + _START_S
        while not self.ready(number):
            if time.monotonic() > deadline:
                raise AssertionError(self.log(number).read_text()[-3000:])
            time.sleep(0.05)

    def call(
        self,
        number: int,
        path: str,
        *,
        request_id: str,
        body: bytes = b'',
        work_ms: int = 0,
    ) -> tuple[int, dict[str, str], list[str]]:
        """Send a request to a node; return status, headers and body lines."""
        return self._request(
            number,
            'outbound',
            'POST',
            path,
            body=body,
            headers={
                'Host': 'app.example',
                'Attempt-Id': request_id,
                'Request-Timeout-Ms': '2000',
                'X-Work-Ms': str(work_ms),
                'Caller-Service': 'forged',
            },
        )

    def _request(
        self,
        number: int,
        role: str,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], list[str]]:
        connection = http_client.HTTPConnection(
            _host(number),
            self._ports[role],
            timeout=10,
        )
        with contextlib.closing(connection):
            connection.request(method, path, body=body, headers=headers or {})
            answer = connection.getresponse()
            lines = answer.read().decode().split('\n')
        fields = {name.lower(): text for name, text in answer.getheaders()}
        return answer.status, fields, lines

    def _settings(self, number: int) -> str:
        host = _host(number)
        ports = self._ports
        service = ('desk', 'portal')[number % 2]
        return '\n'.join((
            f'ip={host}',
            'zone=z',
            'region=r',
            'zones.z=r',
            f'bind.outbound={host}:{ports["outbound"]}',
            f'bind.readiness={host}:{ports["readiness"]}',
            f'internal_ports={ports["low"]},{ports["high"]}',
            'bounds=grace=6s',
            f'app_addr={host}:{ports["app"]}',
            f'service={service}',
            f'platform.address=127.0.0.1:{self._store}',
        ))


def _host(number: int) -> str:
    return f'127.0.0.{number + 2}'


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        return [_bind_free_port(unbound) for unbound in sockets]


def _bind_free_port(unbound: socket.socket) -> int:
    unbound.bind(('127.0.0.1', 0))
    return int(unbound.getsockname()[1])
