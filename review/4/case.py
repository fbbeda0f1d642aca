"""A request of one caller crashes backend servers; others ask for the path."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import mesh as meshes  # noqa: E402

ROUTES = [
    {'path_prefix': '/read/', 'kind': 'repeat', 'timeout': '2000ms',
     'target_latency': '500ms', 'attempts': 2, 'service': 'portal'},
]
SERVICES = ['portal'] * 6 + ['desk', 'desk', 'mail']
USUAL = (6, 7)
# The machine of the consumer whose request crashes backend servers.
CRASHING = 8
PATH = '/read/list'
CONTACT_S = 4.0
RETRY_S = 1.0
LENGTH_S = 40


def crashes(target, fields):
    """Tell whether a request crashes the backend server that runs it.

    It has a path, a caller and a body; the same path from another caller is
    another request.
    """
    return target == PATH and fields.get('caller-service') == 'mail'


async def case(mesh, trouble):
    await mesh.start(ROUTES)
    for server in mesh.backends:
        server.crashes = crashes
    tasks = [asyncio.ensure_future(send(mesh, number, 0.1))
             for number in USUAL for _ in range(3)]
    await asyncio.sleep(3)
    if trouble:
        tasks.append(asyncio.ensure_future(send(mesh, CRASHING, RETRY_S)))
    await asyncio.sleep(LENGTH_S)
    mesh.stopping = True
    await asyncio.gather(*tasks)
    return is_broken(mesh)


async def send(mesh, number, pause_s):
    while not mesh.stopping:
        await mesh.request(number, PATH)
        await asyncio.sleep(pause_s)


def is_broken(mesh):
    sent = {event['attempt']: event for event in mesh.events
            if event['kind'] == 'sent'}
    runs = [event for event in mesh.events if event['kind'] == 'run'
            and sent[event['attempt']]['node'] == CRASHING]
    print(f'{len(runs)} runs crashed a backend server')
    usual = [attempt for attempt, event in sent.items()
             if event['node'] != CRASHING]
    answers = mesh.answers()
    served = sum(answers[attempt]['status'] == 200 for attempt in usual)
    print(f'of the requests of other callers {served} of {len(usual)} served')
    if len(runs) < 3:
        return False
    since = runs[2]['t'] + CONTACT_S
    late = {event['attempt'] for event in runs
            if sent[event['attempt']]['t'] > since}
    mesh.record('late', since=since, retries=sorted(late))
    print(f'{len(late)} retries reached a backend server later than'
          f' {CONTACT_S} s after the third crash')
    return len(late) > 3


sys.exit(meshes.run_case(case, services=SERVICES, folder=FOLDER))
