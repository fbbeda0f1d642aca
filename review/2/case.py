"""All processes are killed after the configuration has grown by many routes."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import mesh as meshes  # noqa: E402

# One `big_config` adds at most 1,600 routes in the site files.
GROWTH = 1600
STEPS = 3
DOWN_S = 1.4
RECOVERY_S = 15.0
VALUE_BYTES = 1048576


def routes_of(added):
    """Return the routes of a version: /read/ and many unused ones."""
    usual = {'kind': 'repeat', 'timeout': '1200ms', 'target_latency': '250ms',
             'attempts': 2, 'service': 'portal'}
    return [
        {'path_prefix': '/read/', **usual},
        *({'path_prefix': f'/more/{number}/', **usual}
          for number in range(added)),
    ]


async def case(mesh, trouble):
    added = 300
    await mesh.start(routes_of(added))
    for _ in range(STEPS):
        added += GROWTH if trouble else 10
        mesh.publish(routes_of(added))
        await asyncio.sleep(5)
    size = max(len(item['value']) for item in mesh.store.items.values()) * 3 // 4
    mesh.record('size', routes=added + 1, value_bytes=size)
    if size > VALUE_BYTES:
        raise meshes.CannotRun('the value is too large for the store')
    before = await ask(mesh)
    for number in mesh.nodes:
        mesh.signal(number, signal.SIGKILL)
    for number in mesh.nodes:
        await mesh.wait_end(number, 1)
    await asyncio.sleep(DOWN_S)
    for number in tuple(mesh.nodes):
        mesh.start_node(number)
    for number in mesh.nodes:
        await mesh.wait_ready(number)
    await asyncio.sleep(RECOVERY_S)
    after = await ask(mesh)
    print(f'{added + 1} routes, {size} bytes; statuses before the fault'
          f' {before}, later than {RECOVERY_S} s after it {after}')
    count = sum(after.values())
    return after.get(200, 0) < count / 4 <= before.get(200, 0)


async def ask(mesh):
    """Send 200 requests; return how often each status was answered."""
    found = {}
    for _ in range(50):
        for _, status, *_ in await asyncio.gather(
            *(mesh.request(number, '/read/x') for number in mesh.nodes)
        ):
            found[status] = found.get(status, 0) + 1
        await asyncio.sleep(0.1)
    return found


sys.exit(meshes.run_case(
    case, services=['portal', 'portal', 'desk', 'desk'], folder=FOLDER))
