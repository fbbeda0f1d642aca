"""Output and exit code of the commands, from their arguments."""

import io
import json
import pathlib
import socket
import subprocess
import sys

import pytest

from medlarquay import errors
from medlarquay.admin import views
from medlarquay.cli import (
    console,
    exit_code,
    page_request,
    parse_arguments,
    run_command,
)

_ROUTE = views.RouteView(
    host='x.agency',
    path_prefix='/a',
    team='agency',
    service='desk',
    rank='urgent',
    timeout_ms=2000,
    idempotent_methods=('GET', 'PUT'),
    live=6,
    leaving=0,
)


class _Node:
    """Answers with a fixed body and records the requests."""

    def __init__(self, *, content: bytes | None) -> None:
        self._content = content
        self.requests: list[page_request.PageRequest] = []

    def fetch_page(self, request: page_request.PageRequest) -> bytes:
        """Record the request; return the body or raise ``LinkError``."""
        self.requests.append(request)
        if self._content is None:
            raise errors.LinkError('no answer', step='ask node')
        return self._content


def _run(node: _Node, *arguments: str) -> tuple[exit_code.ExitCode, str, str]:
    terminal = console.Console(
        fetch_page=node.fetch_page,
        output=io.StringIO(),
        error_output=io.StringIO(),
    )
    code = run_command.run_command(
        parse_arguments.parse_arguments(arguments), terminal
    )
    return code, terminal.output.getvalue(), terminal.error_output.getvalue()


@pytest.mark.parametrize(
    ('content', 'code', 'shown'),
    [
        ('{"services": {"desk": {}}}', 0, 'services: 1'),
        ('{"service": {}}', 1, 'service is {}: unknown field'),
    ],
)
def test_validate_reports_code_and_broken_rule(
    tmp_path: pathlib.Path, content: str, code: int, shown: str
) -> None:
    """Guards against a pipeline that publishes a document nodes reject."""
    path = tmp_path / 'agency.json'
    path.write_text(content)
    arguments = ('validate', str(path), '--team', 'agency')
    node = _Node(content=None)
    assert _run(node, *arguments)[0] == code
    assert shown in _run(node, *arguments)[1]
    printed = json.loads(_run(node, *arguments, '--json')[1])
    assert printed['valid'] is (code == 0)


def test_unreadable_file_exits_with_usage_code() -> None:
    """Guards against a missing file reported as valid or invalid."""
    arguments = ('validate', '/nonexistent', '--team', 'agency')
    assert _run(_Node(content=None), *arguments)[0] == 2


def test_show_prints_a_table_or_json() -> None:
    """Guards against a page that the tool cannot decode or print."""
    node = _Node(content=views.encode_view([_ROUTE, _ROUTE]))
    arguments = ('show', 'routes', '--node', '127.0.0.1:9')
    code, table, _ = _run(node, *arguments)
    assert code == 0
    assert table.splitlines()[1].split() == [
        'x.agency',
        '/a',
        'agency',
        'desk',
        'urgent',
        '2000',
        'GET,PUT',
        '6',
        '0',
    ]
    printed = json.loads(_run(node, *arguments, '--json')[1])
    assert printed == json.loads(views.encode_view([_ROUTE, _ROUTE]))


@pytest.mark.parametrize(
    'content', [None, b'', b'[1]', b'{"state": "x"}', b'[' * 10**5]
)
def test_unusable_response_exits_as_unreachable(
    content: bytes | None,
) -> None:
    """Guards against a traceback or exit code 0 when a node is down."""
    arguments = ('show', 'routes', '--node', '127.0.0.1:9')
    code, output, error_output = _run(_Node(content=content), *arguments)
    assert code == 3
    assert not output
    assert error_output.startswith('medlarquay: ')


@pytest.mark.parametrize(('refusal', 'code'), [(None, 0), ('no_route', 1)])
def test_explain_exits_with_failure_on_refusal(
    refusal: str | None, code: int
) -> None:
    """Guards against exit code 0 for a request that routing refuses."""
    view = views.ExplainView(
        host='x.agency', target='/a?b', method='PUT', refusal=refusal
    )
    node = _Node(content=views.encode_view(view))
    arguments = '--node 127.0.0.1:9 --host x.agency --target /a?b'.split()
    result = _run(node, 'explain', *arguments, '--method', 'PUT')
    assert result[0] == code
    assert node.requests[0].parameters == (
        ('host', 'x.agency'),
        ('target', '/a?b'),
        ('method', 'PUT'),
    )


@pytest.mark.parametrize(
    'arguments',
    [
        [],
        ['show', 'rotes', '--node', '127.0.0.1:9'],
        ['show', 'routes', '--node', '127.0.0.1'],
        ['validate', 'x'],
    ],
)
def test_wrong_usage_has_its_own_exit_code(arguments: list[str]) -> None:
    """Guards against a mistyped command reported as a failed check."""
    with pytest.raises(SystemExit) as raised:
        parse_arguments.parse_arguments(arguments)
    assert raised.value.code == exit_code.ExitCode.USAGE


def test_closed_port_is_unreachable() -> None:
    """Guards against a hang or traceback when the connection is refused."""
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        # A bound socket that does not listen refuses connections.
        node = f'127.0.0.1:{bound.getsockname()[1]}'
        completed = subprocess.run(
            [sys.executable, '-m', 'medlarquay.cli.main', 'show', 'version']
            + ['--node', node],
            capture_output=True,
            text=True,
        )
    assert completed.returncode == 3
    assert completed.stderr.startswith('medlarquay: node gave no answer')
