"""Tests of the daemon as a process."""

import contextlib
import json
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from http import HTTPStatus, client

import pytest

_PORT_NAMES = ('caller-port', 'peer-port', 'admin-port', 'backend-port')
# At 0.05 s each, far longer than the usual start of half a second, so that the
# tests do not fail on a busy machine.
_START_ATTEMPTS = 600
_SIGNAL_COUNT = 2000
_WAITING_CALLERS = 20


def _free_port() -> int:
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        return bound.getsockname()[1]


def _get(port: int, page: str) -> tuple[int, bytes]:
    connection = client.HTTPConnection('127.0.0.1', port, timeout=30)
    with contextlib.closing(connection):
        connection.request('GET', f'/{page}')
        answer = connection.getresponse()
        return answer.status, answer.read()


def _wait_until_healthy(admin_port: int, node: subprocess.Popen[str]) -> None:
    for _ in range(_START_ATTEMPTS):
        with contextlib.suppress(ConnectionError):
            if _get(admin_port, 'health')[0] == HTTPStatus.OK:
                return
        try:
            node.wait(timeout=0.05)
        except subprocess.TimeoutExpired:
            continue
        break
    pytest.fail('node did not start')


_RUN = ('-m', 'medlarquay.daemon.main')
# Shows on standard error that the interpreter was finalized.
_RUN_WITH_MARK = (
    '-c',
    'import atexit, sys\n'
    'atexit.register(sys.stderr.write, "finalized")\n'
    'from medlarquay.daemon import main\n'
    'main.run()\n',
)


@contextlib.contextmanager
def _started(
    *,
    caller_port: int | None = None,
    run: tuple[str, ...] = _RUN,
) -> Iterator[tuple[int, subprocess.Popen[str]]]:
    """Start a node; yield its admin port and its process."""
    ports = [_free_port() for _ in _PORT_NAMES]
    if caller_port is not None:
        ports[0] = caller_port
    flags = [
        f'--{name}={port}'
        for name, port in zip(_PORT_NAMES, ports, strict=True)
    ]
    node = subprocess.Popen(
        [
            sys.executable,
            *run,
            '--instance=i1',
            '--region=palermo',
            '--data-centre=pa1',
            '--host=127.0.0.1',
            '--backend-host=127.0.0.1',
            f'--source-url=http://127.0.0.1:{_free_port()}',
            '--drain-timeout-s=0',
            *flags,
        ],
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        yield ports[2], node
    finally:
        node.kill()
        node.wait()


def test_node_answers_operators_and_stops_on_sigterm() -> None:
    """Guards against tasks of a node that are not connected properly."""
    with _started() as (admin_port, node):
        logged = _check_and_stop(admin_port, node)
    assert node.returncode == 0
    assert 'lifecycle: entered state stopped' in logged


def _check_and_stop(admin_port: int, node: subprocess.Popen[str]) -> str:
    _wait_until_healthy(admin_port, node)
    assert _get(admin_port, 'ready')[0] == HTTPStatus.SERVICE_UNAVAILABLE
    assert json.loads(_get(admin_port, 'version')[1])['instance'] == 'i1'
    node.send_signal(signal.SIGTERM)
    return node.communicate(timeout=60)[1]


def test_stopped_node_ends_at_once() -> None:
    """Guards against a stopped process that has to be killed.

    The end of the interpreter takes a fifth of a second of processor time, and
    a busy machine may not give it that before it is killed.
    """
    with _started(run=_RUN_WITH_MARK) as (admin_port, node):
        logged = _check_and_stop(admin_port, node)
    assert node.returncode == 0
    assert 'lifecycle: entered state stopped' in logged
    assert 'finalized' not in logged


def test_further_signals_do_not_change_exit_code() -> None:
    """Guards against a graceful stop that exits as if it had failed.

    A signal that arrived while the interpreter exited killed the process.
    """
    with _started() as (admin_port, node):
        _wait_until_healthy(admin_port, node)
        for _ in range(_SIGNAL_COUNT):
            node.send_signal(signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                node.wait(timeout=0.002)
        node.communicate(timeout=60)
    assert node.returncode == 0


def test_requests_that_came_in_a_pause_of_a_stopping_node_are_answered() -> (
    None
):
    """Guards against requests cut off because the stop was overdue.

    Callers connect and send a request while the process is paused, so that
    both wait in the backlog of the port when the overdue stop begins.
    """
    port = _free_port()
    with _started(caller_port=port) as (admin_port, node):
        _wait_until_healthy(admin_port, node)
        node.send_signal(signal.SIGSTOP)
        waiting = [_send_request(port) for _ in range(_WAITING_CALLERS)]
        node.send_signal(signal.SIGTERM)
        node.send_signal(signal.SIGCONT)
        answers = [_read_all(caller) for caller in waiting]
        node.communicate(timeout=60)
    assert node.returncode == 0
    assert {answer[:12] for answer in answers} == {b'HTTP/1.1 503'}


def _send_request(port: int) -> socket.socket:
    caller = socket.create_connection(('127.0.0.1', port), timeout=60)
    caller.sendall(b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n')
    return caller


def _read_all(caller: socket.socket) -> bytes:
    """Return what a caller received; empty if its connection was reset."""
    received = b''
    with caller, contextlib.suppress(ConnectionError):
        while piece := caller.recv(4096):
            received += piece
    return received
