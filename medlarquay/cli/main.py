"""Entry point of the command-line tool ``medlarquay``."""

import sys

from medlarquay.cli import (
    console,
    page_request,
    parse_arguments,
    run_command,
)

__all__ = ('run',)


def run() -> None:
    """Run one command and exit with its code."""
    command = parse_arguments.parse_arguments()
    terminal = console.Console(
        fetch_page=_fetch_page,
        output=sys.stdout,
        error_output=sys.stderr,
    )
    sys.exit(run_command.run_command(command, terminal))


def _fetch_page(request: page_request.PageRequest) -> bytes:
    # Imported late: `validate` and `story` need no reactor and no HTTP client.
    from medlarquay.cli import fetch_page  # noqa: PLC0415

    return fetch_page.fetch_page(request)


if __name__ == '__main__':
    run()
