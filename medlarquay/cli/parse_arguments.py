"""Parsing of the command line."""

import argparse
from collections.abc import Sequence

from medlarquay import addresses, ids
from medlarquay.cli import (
    explain_command,
    show_command,
    show_topic,
    story_command,
    validate_command,
)

__all__ = ('parse_arguments',)

_Command = (
    explain_command.ExplainCommand
    | show_command.ShowCommand
    | story_command.StoryCommand
    | validate_command.ValidateCommand
)


def parse_arguments(arguments: Sequence[str] | None = None) -> _Command:
    """Parse the command; exit with code 2 on wrong usage."""
    parser = argparse.ArgumentParser(
        prog='medlarquay',
        description='Check documents and ask nodes of the service mesh.',
    )
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    _add_validate(commands.add_parser('validate', help='check a document'))
    _add_show(commands.add_parser('show', help='show a page of a node'))
    _add_explain(
        commands.add_parser('explain', help='show how a request is routed'),
    )
    _add_story(
        commands.add_parser('story', help='tell what became of a request'),
    )
    options = vars(parser.parse_args(arguments))
    build = options.pop('build')
    return build(**options)


def _add_validate(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('path', metavar='FILE')
    parser.add_argument('--team', required=True, type=ids.TeamName)
    _add_json(parser)
    parser.set_defaults(build=validate_command.ValidateCommand)


def _add_show(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'topic',
        type=_parse_topic,
        metavar='|'.join(topic.value for topic in show_topic.ShowTopic),
    )
    _add_node(parser)
    _add_json(parser)
    parser.set_defaults(build=show_command.ShowCommand)


def _add_explain(parser: argparse.ArgumentParser) -> None:
    _add_node(parser)
    parser.add_argument('--host', required=True, help='Host header')
    parser.add_argument('--target', required=True, help='path and query')
    parser.add_argument('--method', default='GET')
    _add_json(parser)
    parser.set_defaults(build=explain_command.ExplainCommand)


def _add_story(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('request', metavar='REQUEST', help='id of the request')
    parser.add_argument(
        'paths',
        metavar='LOGFILE',
        nargs='+',
        help='log files of nodes',
    )
    parser.set_defaults(build=story_command.StoryCommand)


def _add_node(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--node',
        required=True,
        type=_parse_address,
        metavar='HOST:ADMINPORT',
    )


def _add_json(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--json',
        action='store_true',
        dest='as_json',
        help='print JSON',
    )


def _parse_address(text: str) -> addresses.NodeAddress:
    try:
        return addresses.parse_address(text)
    except ValueError as cause:
        raise argparse.ArgumentTypeError(
            f'{text!r} is no HOST:ADMINPORT: {cause}',
        ) from cause


def _parse_topic(text: str) -> show_topic.ShowTopic:
    try:
        return show_topic.ShowTopic(text)
    except ValueError as cause:
        raise argparse.ArgumentTypeError(
            f'{text!r} is not a page of a node',
        ) from cause
