"""Start a node on the users' platform from the archive of its modules.

Run as ``python3 -m medlarquay.startup ARCHIVE``.
"""

import gc
import sys

from medlarquay.startup import archive, unused_modules


def run() -> None:
    """Run a node until it is stopped."""
    # Modules are never freed, so collections during their import are wasted.
    gc.disable()
    archive.install_archive(sys.argv[1])
    unused_modules.skip_unused_modules()
    from medlarquay.platform import main  # noqa: PLC0415

    main.run()


if __name__ == '__main__':
    run()
