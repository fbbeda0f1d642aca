"""Exit codes of the command-line tool."""

import enum

__all__ = ('ExitCode',)


class ExitCode(enum.IntEnum):
    """Exit codes of the command-line tool."""

    OK = 0
    CHECK_FAILED = 1
    # argparse exits with this code by itself.
    USAGE = 2
    NODE_UNREACHABLE = 3
