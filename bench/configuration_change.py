"""Cost of one changed route among 1,400, at the reader and at a child.

Prints one ``name=value`` per line: the median time of each step that a change
takes from the store to the snapshot in force, and the bytes of the first
message, which has the whole configuration, and of a message with one change.
``read`` decodes base64 and CBOR of the store's answer, ``join`` applies the
document to the replica and includes its validation, and ``bind`` builds the
snapshot. On a machine with a share of a core, divide the times by the share.
"""

import base64
import functools

import cbor2

from bench import platform_document, step_times
from medlarquay import codec, ids, messages, replica, settings
from medlarquay.platform import operators_document, store_body
from medlarquay.tasks import snapshot_builder

__all__ = ('main',)

_ROUTES = 1400
_VERSIONS = 16


def main() -> None:
    """Measure 16 versions of the configuration and print the figures."""
    steps = step_times.StepTimes()
    frames = _measure_reader(steps)
    _measure_child(steps, frames)
    steps.print_medians()
    print(f'stored_bytes={len(_stored_answer(1))}')
    print(f'whole_frame_bytes={len(frames[0])}')
    print(f'change_frame_bytes={len(frames[-1])}')


def _measure_reader(steps: step_times.StepTimes) -> list[bytes]:
    local_replica = replica.Replica()
    builder = snapshot_builder.SnapshotBuilder()
    cache = operators_document.new_route_cache()
    frames = []
    for version in range(1, _VERSIONS + 1):
        stored = _stored_answer(version)
        published = steps.run('read', functools.partial(_read, stored))
        content = steps.run(
            'translate',
            functools.partial(
                operators_document.translate_configuration,
                published,
                cache=cache,
            ),
        )
        base = local_replica.vector
        result = steps.run(
            'join',
            functools.partial(_apply, local_replica, content, version),
        )
        builder.add(result)
        steps.run('bind', functools.partial(builder.build, local_replica))
        delta = steps.run(
            'delta', functools.partial(local_replica.delta_after, base)
        )
        frames.append(
            steps.run(
                'encode',
                functools.partial(
                    codec.encode,
                    messages.Records(delta=delta),
                    now=0,
                ),
            ),
        )
    return frames


def _measure_child(steps: step_times.StepTimes, frames: list[bytes]) -> None:
    local_replica = replica.Replica()
    for frame in frames:
        message = steps.run(
            'decode',
            functools.partial(codec.decode, frame, now=0, peer='parent'),
        )
        if isinstance(message, messages.Records):
            steps.run(
                'child_join',
                functools.partial(local_replica.apply_delta, message.delta),
            )


def _stored_answer(version: int) -> bytes:
    published = platform_document.build_configuration(
        _ROUTES,
        version=version,
        changed=(version % _ROUTES,),
    )
    item = {
        'key': 'op/config',
        'value': base64.b64encode(published).decode(),
        'revision': version,
    }
    return cbor2.dumps({'at': version, 'events': [item]})


def _read(stored: bytes) -> bytes:
    answer = store_body.decode_body(stored)
    return base64.b64decode(answer['events'][0]['value'], validate=True)


def _apply(
    local_replica: replica.Replica,
    content: bytes,
    version: int,
) -> replica.ApplyResult:
    return replica.apply_source(
        local_replica,
        tree=replica.SourceTree.TEAMS,
        after=ids.Revision(version - 1),
        revision=ids.Revision(version),
        entries=(
            replica.SourceValue(
                key=settings.SHARED_TEAM,
                revision=ids.Revision(version),
                content=content,
            ),
        ),
    )


if __name__ == '__main__':
    main()
