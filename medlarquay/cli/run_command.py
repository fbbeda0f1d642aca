"""Execution of parsed commands."""

import functools

from medlarquay import errors
from medlarquay.admin import views
from medlarquay.cli import (
    commands,
    console,
    exit_code,
    fetch_views,
    format_views,
    request_history,
    validate_file,
)

__all__ = ('run_command',)


def run_command(
    command: object,
    terminal: console.Console,
) -> exit_code.ExitCode:
    """Run one command and return the exit code.

    Parameters
    ----------
    command : object
        Command from ``parse_arguments``.
    terminal : Console
        Fetches admin pages and receives the output.
    """
    try:
        return _run(command, terminal)
    except OSError as failure:
        terminal.error_output.write(f'medlarquay: {failure}\n')
        return exit_code.ExitCode.USAGE
    except errors.MedlarquayError as failure:
        terminal.error_output.write(f'medlarquay: {failure}\n')
        return exit_code.ExitCode.NODE_UNREACHABLE


@functools.singledispatch
def _run(command: object, terminal: console.Console) -> exit_code.ExitCode:
    raise TypeError(f'unexpected command {type(command).__name__}')


@_run.register
def _validate(
    command: commands.ValidateCommand,
    terminal: console.Console,
) -> exit_code.ExitCode:
    view = validate_file.validate_file(command)
    _print_view(view, terminal, as_json=command.as_json)
    if view.valid:
        return exit_code.ExitCode.OK
    return exit_code.ExitCode.CHECK_FAILED


@_run.register
def _show(
    command: commands.ShowCommand,
    terminal: console.Console,
) -> exit_code.ExitCode:
    entries = fetch_views.fetch_topic(command, terminal)
    if command.as_json:
        terminal.output.write(
            '{}\n'.format(views.encode_view(entries).decode())
        )
    else:
        terminal.output.write(format_views.format_rows(entries))
    return exit_code.ExitCode.OK


@_run.register
def _explain(
    command: commands.ExplainCommand,
    terminal: console.Console,
) -> exit_code.ExitCode:
    view = fetch_views.fetch_explanation(command, terminal)
    _print_view(view, terminal, as_json=command.as_json)
    if view.refusal is None:
        return exit_code.ExitCode.OK
    return exit_code.ExitCode.CHECK_FAILED


@_run.register
def _print_history(
    command: commands.StoryCommand,
    terminal: console.Console,
) -> exit_code.ExitCode:
    history = request_history.read_history(command.request, command.paths)
    for line in history.lines:
        terminal.output.write(
            f'{line.time} {line.source} {line.part}: {line.text}\n',
        )
    final_line = history.final_line
    if final_line is None:
        terminal.error_output.write(
            f'medlarquay: no line of {command.request}\n'
        )
        return exit_code.ExitCode.CHECK_FAILED
    terminal.output.write(
        f'ended by {final_line.source} {final_line.part}: {final_line.text}\n',
    )
    return exit_code.ExitCode.OK


def _print_view(
    view: object,
    terminal: console.Console,
    *,
    as_json: bool,
) -> None:
    if as_json:
        terminal.output.write('{}\n'.format(views.encode_view(view).decode()))
    else:
        terminal.output.write(format_views.format_view(view))
