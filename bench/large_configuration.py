"""Cost of the largest configuration and of a small change to it.

Prints ``name=value`` lines: processor time of each step in milliseconds, each
of which blocks the event loop once, bytes on a link between nodes, and memory.
"""

import argparse
import functools
import random
import resource
import sys
import time
from collections.abc import Callable
from typing import TypeVar

from medlarquay import codec, ids, messages, replica, settings, snapshots
from medlarquay.platform import operators_document
from medlarquay.platform.testing import large_configuration as configurations
from medlarquay.tasks import snapshot_builder

__all__ = ('main',)

_Result = TypeVar('_Result')

_ROUTES = 14000
_MS_PER_SECOND = 1000
_KB_PER_MB = 1000
_TIMEOUT_COLUMN = configurations.COLUMNS.index('timeout')


def main() -> None:
    """Measure one node that reads the source."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--routes', type=int, default=_ROUTES)
    randomness = random.Random(1)
    rows = [
        configurations.usual_row(number, randomness)
        for number in range(parser.parse_args().routes)
    ]
    node = replica.Replica()
    builder = snapshot_builder.SnapshotBuilder()
    cache = operators_document.new_route_cache()
    for revision, label in enumerate(('whole', 'change'), 1):
        value = configurations.encode_rows(rows)
        document = _measure(
            f'{label}_translate_ms',
            functools.partial(
                operators_document.translate_configuration, value, cache=cache
            ),
        )
        _apply(node, builder, document, revision, label)
        if label == 'whole':
            _print('published_bytes', len(value))
            _print('document_bytes', len(document))
        rows[len(rows) // 2][_TIMEOUT_COLUMN] = '1300ms'
    usage = resource.getrusage(resource.RUSAGE_SELF)
    _print('peak_memory_mb', usage.ru_maxrss / _KB_PER_MB)


def _apply(
    node: replica.Replica,
    builder: snapshot_builder.SnapshotBuilder,
    document: bytes,
    revision: int,
    label: str,
) -> snapshots.Snapshot:
    base = node.vector
    result = _measure(
        f'{label}_validate_ms',
        lambda: replica.apply_source(
            node,
            tree=replica.SourceTree.TEAMS,
            after=base.tree_revision,
            revision=ids.Revision(revision),
            entries=(
                replica.SourceValue(
                    key=settings.SHARED_TEAM,
                    revision=ids.Revision(revision),
                    content=document,
                ),
            ),
        ),
    )
    if result.rejections:
        sys.exit(f'the configuration was rejected: {result.rejections}')
    builder.add(result)
    snapshot = _measure(f'{label}_snapshot_ms', lambda: builder.build(node))
    frame = _measure(
        f'{label}_encode_ms',
        lambda: codec.encode(
            messages.Records(delta=node.delta_after(base)), now=0
        ),
    )
    _print(f'{label}_link_bytes', len(frame))
    return snapshot


def _measure(name: str, step: Callable[[], _Result]) -> _Result:
    started_at = time.process_time()
    outcome = step()
    _print(name, (time.process_time() - started_at) * _MS_PER_SECOND)
    return outcome


def _print(name: str, measured: float) -> None:
    print(f'{name}={measured:.1f}')


if __name__ == '__main__':
    main()
