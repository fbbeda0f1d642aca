"""Entry point of ``medlarquay``."""

import sys

from medlarquay.cli import (
    console,
    node_question,
    parse_arguments,
    run_command,
)

__all__ = ('run',)


def run() -> None:
    """Run one command and exit with its code."""
    command = parse_arguments.parse_arguments()
    terminal = console.Console(
        ask=_ask,
        output=sys.stdout,
        problems=sys.stderr,
    )
    sys.exit(run_command.run_command(command, terminal))


def _ask(question: node_question.NodeQuestion) -> bytes:
    # A check of a document needs no reactor and no HTTP client.
    from medlarquay.cli import ask_node  # noqa: PLC0415

    return ask_node.ask_node(question)


if __name__ == '__main__':
    run()
