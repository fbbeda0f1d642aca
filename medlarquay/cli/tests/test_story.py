"""Log lines of one request across the logs of several nodes."""

import io
import pathlib

from medlarquay.cli import (
    console,
    exit_code,
    page_request,
    parse_arguments,
    run_command,
)

_INGRESS = (
    '2026-02-19T18:27:36.659402Z INFO ingress: request=a1 '
    'decision=refused_for_load owner=10.4.0.20 attempts=1 sent_ms=2\n'
    '2026-02-19T18:27:36.685313Z INFO ingress: request=a1 told=429 '
    'outcome=not-run reason=deadline_unreachable\n'
    '2026-02-19T18:27:36.685400Z INFO ingress: request=a10 told=200\n'
)
_OWNER = (
    '  0.6585 sidecar-x-2 2026-02-19T18:27:36.658409Z INFO owner: '
    'request=a1 outcome=not-run reason=deadline_unreachable queued=0\n'
    'not a line of a node request=a1\n'
)


def _refuse_fetch(request: page_request.PageRequest) -> bytes:
    raise AssertionError('story fetched a page of a node')


def _run_story(tmp_path: pathlib.Path, request: str) -> tuple[int, str]:
    ingress = tmp_path / 'ingress.log'
    ingress.write_text(_INGRESS)
    owner = tmp_path / 'owner.log'
    owner.write_text(_OWNER)
    terminal = console.Console(
        fetch_page=_refuse_fetch,
        output=io.StringIO(),
        error_output=io.StringIO(),
    )
    command = parse_arguments.parse_arguments(
        ['story', request, str(ingress), str(owner)],
    )
    code = run_command.run_command(command, terminal)
    assert isinstance(terminal.output, io.StringIO)
    return code, terminal.output.getvalue()


def test_lines_of_all_nodes_are_sorted_by_time(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against lines printed file by file, effects before causes."""
    code, text = _run_story(tmp_path, 'a1')
    lines = text.splitlines()
    assert (code, len(lines)) == (exit_code.ExitCode.OK, 4)
    assert 'sidecar-x-2 owner: request=a1 outcome=not-run' in lines[0]
    assert 'decision=refused_for_load' in lines[1]
    assert lines[3].startswith('ended by ') and 'told=429' in lines[3]


def test_unknown_request_exits_with_failure(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against exit code 0 for a request that no log names."""
    code, text = _run_story(tmp_path, 'a2')
    assert (code, text) == (exit_code.ExitCode.CHECK_FAILED, '')
