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

import cbor2

from medlarquay import codec, ids, messages, replica, settings, snapshots
from medlarquay.platform import operators_document
from medlarquay.tasks import snapshot_builder

__all__ = ('main',)

_Result = TypeVar('_Result')

_ROUTES = 14000
_MS_PER_SECOND = 1000
_KB_PER_MB = 1000
_TIMEOUT_COLUMN = 5
_COLUMNS = (
    'name',
    'host',
    'path_prefix',
    'service',
    'kind',
    'timeout',
    'target_latency',
    'attempts',
    'priority',
)


def main() -> None:
    """Measure one node that reads the source."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--routes', type=int, default=_ROUTES)
    rows = _build_rows(parser.parse_args().routes)
    node = replica.Replica()
    builder = snapshot_builder.SnapshotBuilder()
    cache = operators_document.new_route_cache()
    for revision, label in enumerate(('whole', 'change'), 1):
        value = _encode(rows)
        document = _measure(
            f'{label}_translate_ms',
            functools.partial(
                operators_document.translate_configuration, value, cache=cache
            ),
        )
        _apply(node, builder, document, revision, label)
        if label == 'whole':
            _print('value_bytes', len(value))
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


def _build_rows(routes: int) -> list[list[object]]:
    randomness = random.Random(1)
    return [
        [
            f'r{number}',
            'jepu9.example',
            f'/{randomness.getrandbits(40):x}/{randomness.getrandbits(20):x}/',
            'portal',
            randomness.choice(('repeat', 'once')),
            '1200ms',
            '250ms',
            2,
            1,
        ]
        for number in range(routes)
    ]


def _encode(rows: list[list[object]]) -> bytes:
    return cbor2.dumps({
        'version': 'r12',
        'routes': {'columns': list(_COLUMNS), 'rows': rows},
        'services': {'columns': ['name'], 'rows': [['portal'], ['desk']]},
        'limits': {},
    })


def _measure(name: str, step: Callable[[], _Result]) -> _Result:
    started_at = time.process_time()
    outcome = step()
    _print(name, (time.process_time() - started_at) * _MS_PER_SECOND)
    return outcome


def _print(name: str, measured: float) -> None:
    print(f'{name}={measured:.1f}')


if __name__ == '__main__':
    main()
