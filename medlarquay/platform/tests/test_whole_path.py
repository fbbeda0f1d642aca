"""End-to-end tests: real processes on stand-ins for the platform."""

import functools
import pathlib
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable

from medlarquay.platform.tests import small_platform

_WAIT_S = 10


def _wait_until(read: Callable[[], object], expected: object) -> None:
    deadline = time.monotonic() + _WAIT_S
    while read() != expected:
        assert time.monotonic() < deadline
        time.sleep(0.05)


def _request_status(
    mesh: small_platform.SmallPlatform,
    number: int,
    path: str,
) -> int:
    try:
        return mesh.call(number, path, request_id='told')[0]
    except OSError:
        return 0


def _is_logged(
    mesh: small_platform.SmallPlatform,
    number: int,
    text: str,
) -> bool:
    return text in mesh.log(number).read_text()


def _is_any_logged(mesh: small_platform.SmallPlatform, text: str) -> bool:
    # Only the node that reads the store logs the failure.
    return any(_is_logged(mesh, number, text) for number in range(3))


def test_request_reaches_a_backend_server_of_its_route(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a request that is lost, changed or forged.

    The caller sets the header of the calling service itself; the ingress must
    replace it.
    """
    with small_platform.SmallPlatform(nodes=3, directory=tmp_path) as mesh:
        # Node 0 stands beside the service desk, node 1 beside portal.
        status, fields, lines = mesh.call(
            0,
            '/portal/x?y=1',
            request_id='a1',
            body=b'content',
        )
        assert (status, fields['attempt-id']) == (200, 'a1')
        assert lines == ['POST /portal/x?y=1', 'content', 'desk', 'i-1']
        assert mesh.call(1, '/nowhere/', request_id='a2')[0] == 404
        ingress_line = 'ingress: request=a1 told=200 outcome=run'
        _wait_until(
            functools.partial(_is_logged, mesh, 0, ingress_line), expected=True
        )
        owner_line = 'owner: request=a1 outcome=run'
        _wait_until(
            functools.partial(_is_logged, mesh, 1, owner_line), expected=True
        )


def test_change_is_applied_on_all_nodes(tmp_path: pathlib.Path) -> None:
    """Guards against a node that keeps an older configuration.

    The second change follows the loss of the store's history, so the reader
    has to list instead of watching.
    """
    with small_platform.SmallPlatform(nodes=3, directory=tmp_path) as mesh:
        mesh.send_command('route /new/ portal')
        for number in range(3):
            _wait_until(
                functools.partial(_request_status, mesh, number, '/new/'), 200
            )
        mesh.send_command('forget')
        mesh.send_command('route /newer/ portal')
        _wait_until(functools.partial(_request_status, mesh, 2, '/newer/'), 200)


def test_requests_are_served_while_the_store_is_unavailable(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a mesh that depends on the store to serve requests."""
    with small_platform.SmallPlatform(nodes=3, directory=tmp_path) as mesh:
        mesh.send_command('fault busy')
        failed = 'source: read of teams failed'
        _wait_until(
            functools.partial(_is_any_logged, mesh, failed), expected=True
        )
        assert mesh.call(0, '/desk/', request_id='c1')[0] == 200
        mesh.send_command('fault none')
        mesh.send_command('route /after/ portal')
        _wait_until(functools.partial(_request_status, mesh, 0, '/after/'), 200)


def test_node_without_a_configuration_refuses_with_503(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against 404 for a route that the node has not received yet."""
    with small_platform.SmallPlatform(nodes=1, directory=tmp_path) as mesh:
        mesh.signal(0, signal.SIGKILL)
        mesh.wait_end(0, 5)
        mesh.send_command('fault silent')
        mesh.start(0)
        _wait_until(functools.partial(_request_status, mesh, 0, '/desk/'), 503)
        assert not mesh.ready(0)
        mesh.send_command('fault none')
        mesh.wait_ready(0)


def test_nodes_restart_while_the_newest_version_is_rejected(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a restarted node that answers 404 to everything.

    One that is restarted alone learns the accepted version from the others.
    Once all were killed nobody knows it, and they wait for a valid one.
    """
    with small_platform.SmallPlatform(nodes=3, directory=tmp_path) as mesh:
        mesh.send_command('route no-slash portal')
        rejected = 'rejected a record'
        for number in range(3):
            _wait_until(
                functools.partial(_is_logged, mesh, number, rejected),
                expected=True,
            )
        for number in range(3):
            mesh.signal(number, signal.SIGKILL)
            mesh.wait_end(number, 5)
            mesh.start(number)
            mesh.wait_ready(number)
            assert _request_status(mesh, number, '/portal/') == 200
        for number in range(3):
            mesh.signal(number, signal.SIGKILL)
            mesh.wait_end(number, 5)
        for number in range(3):
            mesh.start(number)
        for number in range(3):
            _wait_until(
                functools.partial(_request_status, mesh, number, '/portal/'),
                503,
            )
            assert not mesh.ready(number)
        mesh.send_command('unroute no-slash')
        for number in range(3):
            mesh.wait_ready(number)
            assert _request_status(mesh, number, '/portal/') == 200


def test_sigterm_does_not_abort_requests_in_flight(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a SIGTERM that aborts requests in flight."""
    with small_platform.SmallPlatform(nodes=3, directory=tmp_path) as mesh:
        statuses: list[int] = []

        def send_request() -> None:
            answer = mesh.call(1, '/portal/', request_id='e1', work_ms=900)
            statuses.append(answer[0])

        requester = threading.Thread(target=send_request)
        requester.start()
        time.sleep(0.3)
        mesh.signal(1, signal.SIGTERM)
        _wait_until(functools.partial(mesh.ready, 1), expected=False)
        # Callers learn of the stop with a delay and are still served.
        assert mesh.call(1, '/desk/', request_id='e2')[0] == 200
        requester.join()
        assert statuses == [200]
        assert mesh.wait_end(1, 6) == 0


def test_sighup_does_not_end_the_process(tmp_path: pathlib.Path) -> None:
    """Guards against SIGHUP ending the process, with valid or bad settings."""
    with small_platform.SmallPlatform(nodes=1, directory=tmp_path) as mesh:
        mesh.signal(0, signal.SIGHUP)
        unchanged_line = 'settings: reload=done changed=- in_force=now'
        _wait_until(
            functools.partial(_is_logged, mesh, 0, unchanged_line),
            expected=True,
        )
        settings = tmp_path / '0.conf'
        settings.write_text(settings.read_text().replace('=6s', '=9s'))
        mesh.signal(0, signal.SIGHUP)
        changed_line = 'settings: reload=done changed=drain_timeout_s'
        _wait_until(
            functools.partial(_is_logged, mesh, 0, changed_line), expected=True
        )
        settings.write_text('nothing')
        mesh.signal(0, signal.SIGHUP)
        rejected_line = "settings stay as they are: internal_ports is ''"
        _wait_until(
            functools.partial(_is_logged, mesh, 0, rejected_line), expected=True
        )
        assert mesh.call(0, '/desk/', request_id='f1')[0] == 200


def test_bad_settings_file_ends_the_start_with_one_line(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a traceback, or a node that listens on a wrong address."""
    settings = tmp_path / 'settings.conf'
    settings.write_text('ip=10.0.0.1\nzone=z\nregion=r\ninternal_ports=9\n')
    ended = subprocess.run(
        [sys.executable, '-m', 'medlarquay.platform.main'],
        env={'MEDLARQUAY_CONFIG': str(settings)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 2
    assert ended.stderr.count('\n') == 1
    assert "internal_ports is '9'" in ended.stderr
