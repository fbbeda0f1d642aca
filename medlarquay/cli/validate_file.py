"""Validation of a team document in a file."""

import pathlib

from medlarquay import errors, settings
from medlarquay.cli import validate_command, validation_view

__all__ = ('validate_file',)


def validate_file(
    command: validate_command.ValidateCommand,
) -> validation_view.ValidationView:
    """Validate a team document by the rules that the nodes apply.

    Raises
    ------
    OSError
        If the file cannot be read.
    """
    content = pathlib.Path(command.path).read_bytes()
    try:
        document = settings.parse_document(team=command.team, content=content)
    except errors.DocumentError as failure:
        return validation_view.ValidationView(valid=False, error=str(failure))
    return validation_view.ValidationView(
        valid=True,
        services=len(document.services),
        routes=len(document.routes),
    )
