"""The whole path as real processes on stand-ins of the platform."""

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


def _until(found: Callable[[], object], wanted: object) -> None:
    until = time.monotonic() + _WAIT_S
    while found() != wanted:
        assert time.monotonic() < until
        time.sleep(0.05)


def _told(
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
    # Only the node that reads the store notices.
    return any(_is_logged(mesh, number, text) for number in range(3))


def test_a_request_reaches_a_backend_server_of_its_route(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a path that loses, changes or forges a request."""
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
        told = 'ingress: request=a1 told=200 outcome=run'
        _until(functools.partial(_is_logged, mesh, 0, told), wanted=True)
        ran = 'owner: request=a1 outcome=run'
        _until(functools.partial(_is_logged, mesh, 1, ran), wanted=True)


def test_a_change_is_in_force_on_all_nodes(tmp_path: pathlib.Path) -> None:
    """Guards against a node that keeps an older configuration."""
    with small_platform.SmallPlatform(nodes=3, directory=tmp_path) as mesh:
        mesh.tell('route /new/ portal')
        for number in range(3):
            _until(functools.partial(_told, mesh, number, '/new/'), 200)
        mesh.tell('forget')
        mesh.tell('route /newer/ portal')
        _until(functools.partial(_told, mesh, 2, '/newer/'), 200)


def test_requests_are_served_while_the_store_is_away(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a mesh that stops with the platform's store."""
    with small_platform.SmallPlatform(nodes=3, directory=tmp_path) as mesh:
        mesh.tell('fault busy')
        failed = 'source: read of teams failed'
        _until(functools.partial(_is_any_logged, mesh, failed), wanted=True)
        assert mesh.call(0, '/desk/', request_id='c1')[0] == 200
        mesh.tell('fault none')
        mesh.tell('route /after/ portal')
        _until(functools.partial(_told, mesh, 0, '/after/'), 200)


def test_a_node_that_knows_no_configuration_refuses_with_503(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against 404 for a route that the node has not heard of."""
    with small_platform.SmallPlatform(nodes=1, directory=tmp_path) as mesh:
        mesh.signal(0, signal.SIGKILL)
        mesh.wait_end(0, 5)
        mesh.tell('fault silent')
        mesh.start(0)
        _until(functools.partial(_told, mesh, 0, '/desk/'), 503)
        assert not mesh.ready(0)
        mesh.tell('fault none')
        mesh.wait_ready(0)


def test_a_planned_stop_cuts_no_request(tmp_path: pathlib.Path) -> None:
    """Guards against requests in flight that a stop loses."""
    with small_platform.SmallPlatform(nodes=3, directory=tmp_path) as mesh:
        found: list[int] = []

        def ask() -> None:
            answer = mesh.call(1, '/portal/', request_id='e1', work_ms=900)
            found.append(answer[0])

        asking = threading.Thread(target=ask)
        asking.start()
        time.sleep(0.3)
        mesh.signal(1, signal.SIGTERM)
        _until(functools.partial(mesh.ready, 1), wanted=False)
        # Callers learn of the stop with a delay and are still served.
        assert mesh.call(1, '/desk/', request_id='e2')[0] == 200
        asking.join()
        assert found == [200]
        assert mesh.wait_end(1, 6) == 0


def test_a_node_outlives_changed_settings(tmp_path: pathlib.Path) -> None:
    """Guards against a process that the signal for changed settings ends."""
    with small_platform.SmallPlatform(nodes=1, directory=tmp_path) as mesh:
        mesh.signal(0, signal.SIGHUP)
        same = 'settings: reload=done changed=- in_force=now'
        _until(functools.partial(_is_logged, mesh, 0, same), wanted=True)
        settings = tmp_path / '0.conf'
        settings.write_text(settings.read_text().replace('=6s', '=9s'))
        mesh.signal(0, signal.SIGHUP)
        changed = 'settings: reload=done changed=drain_timeout_s'
        _until(functools.partial(_is_logged, mesh, 0, changed), wanted=True)
        settings.write_text('nothing')
        mesh.signal(0, signal.SIGHUP)
        kept = "settings stay as they are: internal_ports is ''"
        _until(functools.partial(_is_logged, mesh, 0, kept), wanted=True)
        assert mesh.call(0, '/desk/', request_id='f1')[0] == 200


def test_a_bad_settings_file_ends_the_start(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback, or a node at a wrong address."""
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
