"""A backend server leaves while requests wait for it at its node."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import mesh as meshes  # noqa: E402

ROUTES = [
    {'path_prefix': '/order/', 'kind': 'once', 'timeout': '6000ms',
     'target_latency': '5000ms', 'attempts': 2, 'service': 'portal'},
]
# Backend servers of the service: machines 0 to 3, two slots each.
CAPACITY = 2
LEAVING = 0
INGRESSES = (4, 5)
WORK_MS = 600
# Requests that arrive at once at each of the two machines.
WAVE = 34
DRAIN_S = 2.5
# A leaving backend server serves for `drain` and a little longer.
LINGER_S = 1.5
ROUNDS = 2


async def case(mesh, trouble):
    await mesh.start(ROUTES)
    for _ in range(20):
        await asyncio.gather(*(order(mesh, number, WORK_MS)
                               for number in INGRESSES))
    late = []
    for _ in range(ROUNDS):
        tasks = [asyncio.ensure_future(order(mesh, number, WORK_MS))
                 for number in INGRESSES for _ in range(WAVE)]
        await asyncio.sleep(0.3)
        acknowledged = mesh.now()
        if trouble:
            mesh.set_state(LEAVING, 'draining')
            await asyncio.sleep(DRAIN_S + LINGER_S)
            await mesh.leave(LEAVING)
            mesh.signal(LEAVING, signal.SIGTERM)
            await mesh.wait_end(LEAVING, 6.0)
        await asyncio.gather(*tasks)
        left = mesh.backends[LEAVING].instance
        late += [event for event in mesh.events
                 if event['kind'] == 'run' and event['instance'] == left
                 and trouble and event['t'] > acknowledged + DRAIN_S]
        if trouble:
            # Another machine takes the place and the address.
            await mesh.replace(LEAVING)
            mesh.start_node(LEAVING)
            await mesh.wait_ready(LEAVING)
        await asyncio.sleep(4)
    answers = mesh.answers()
    told = [answers[event['attempt']]['status'] for event in late]
    mesh.record('late', attempts=[event['attempt'] for event in late])
    print(f'{len(late)} requests reached the leaving backend server later than'
          f' {DRAIN_S} s after the confirmation; their consumers were told'
          f' {sorted(map(str, told))}')
    return bool(late)


async def order(mesh, number, work_ms):
    return await mesh.request(number, '/order/new', method='POST',
                              timeout_ms=6000, work_ms=work_ms, body=b'x' * 300)


sys.exit(meshes.run_case(
    case, services=['portal'] * 4 + ['desk'] * 2, folder=FOLDER,
    capacity=CAPACITY))
