"""Parsed commands of the command-line tool."""

from medlarquay.cli.explain_command import ExplainCommand
from medlarquay.cli.show_command import ShowCommand
from medlarquay.cli.story_command import StoryCommand
from medlarquay.cli.validate_command import ValidateCommand

__all__ = (
    'ExplainCommand',
    'ShowCommand',
    'StoryCommand',
    'ValidateCommand',
)
