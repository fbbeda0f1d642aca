"""The configuration grows by many routes; later versions are not applied."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import mesh as meshes  # noqa: E402

INGRESS = 2
CONVERGE_S = 2.5
# One `big_config` adds at most 1,600 routes in the site files.
GROWTH = 1600
STEPS = 3
VALUE_BYTES = 1048576


def routes_of(service, added):
    """Return the routes of a version: /read/ and many unused ones."""
    usual = {'kind': 'repeat', 'timeout': '1200ms', 'target_latency': '250ms',
             'attempts': 2}
    return [
        {'path_prefix': '/read/', 'service': service, **usual},
        *({'path_prefix': f'/more/{number}/', 'service': 'portal', **usual}
          for number in range(added)),
    ]


async def case(mesh, trouble):
    await mesh.start(routes_of('portal', 300))
    added = 300
    for _ in range(STEPS):
        added += GROWTH if trouble else 10
        mesh.publish(routes_of('portal', added))
        await asyncio.sleep(5)
    size = max(len(item['value']) for item in mesh.store.items.values()) * 3 // 4
    mesh.record('size', routes=added + 1, value_bytes=size)
    print(f'{added + 1} routes, {size} bytes; value_bytes is {VALUE_BYTES}')
    if size > VALUE_BYTES:
        raise meshes.CannotRun('the value is too large for the store')
    # /read/ moves to another service.
    mesh.publish(routes_of('desk', added))
    await asyncio.sleep(5 + CONVERGE_S)
    late = set()
    for _ in range(50):
        for attempt, *_ in await asyncio.gather(
            *(mesh.request(number, '/read/x') for number in range(4))
        ):
            late.add(attempt)
        await asyncio.sleep(0.1)
    services = {server.instance: server.service for server in mesh.backends}
    old = [attempt for attempt in sorted(late)
           for run in mesh.runs().get(attempt, ())
           if services[run['instance']] == 'portal']
    mesh.record('old', attempts=old)
    print(f'{len(old)} of {len(late)} requests, sent later than {CONVERGE_S} s'
          ' after the confirmation, were run by the old service')
    return bool(old)


sys.exit(meshes.run_case(
    case, services=['portal', 'portal', 'desk', 'desk'], folder=FOLDER))
