"""Exit codes of ``medlarquay``."""

import enum

__all__ = ('ExitCode',)


class ExitCode(enum.IntEnum):
    """Exit codes of the command-line tool."""

    OK = 0
    CHECK_FAILED = 1
    # argparse itself exits with this code on wrong arguments.
    USAGE = 2
    NODE_UNREACHABLE = 3
