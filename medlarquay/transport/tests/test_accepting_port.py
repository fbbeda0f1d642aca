"""Listening port of a process without descriptors."""

import socket
import subprocess
import sys

import pytest

_TIMEOUT_S = 60
# Time in seconds for which the program listens without descriptors.
_LISTENS_S = 2
# Share of that time in which a process that waits may use the processor.
_MOST_BUSY_SHARE = 0.25
_CALLERS = 80
# With a separate limit for files, closing the reserved file frees no place for
# a socket.
_PROGRAM = f"""
import resource, sys, time
resource.setrlimit(resource.RLIMIT_NOFILE, (60, 60))
from medlarquay import transport
from medlarquay.daemon import node_reactor
from twisted.internet import tcp
reactor = node_reactor.load_reactor()
connections = transport.CallerConnections(
    deliver=lambda message: None, reactor=reactor
)
port = connections.listen(reactor, host='127.0.0.1', port=0)
if sys.argv[1] == 'separate limits':
    tcp._reservedFD._fileDescriptor.close()
    tcp._reservedFD._fileDescriptor = None

def report(started_s):
    print(time.process_time() - started_s)
    reactor.stop()

def measure():
    started_s = time.process_time()
    reactor.callLater({_LISTENS_S}, report, started_s)

print(port.getHost().port, flush=True)
sys.stdin.readline()
reactor.callLater(0.2, measure)
reactor.run()
"""


@pytest.mark.parametrize('limits', ['one limit', 'separate limits'])
def test_process_without_descriptors_waits(limits: str) -> None:
    """Guards against a listening port that takes the whole processor."""
    with subprocess.Popen(
        [sys.executable, '-c', _PROGRAM, limits],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        port = int(process.stdout.readline())
        callers = [socket.socket() for _ in range(_CALLERS)]
        for caller in callers:
            caller.setblocking(False)
            caller.connect_ex(('127.0.0.1', port))
        output, _ = process.communicate(input='\n', timeout=_TIMEOUT_S)
        for caller in callers:
            caller.close()
    assert float(output) < _MOST_BUSY_SHARE * _LISTENS_S


def test_port_accepts_again_after_a_descriptor_is_free() -> None:
    """Guards against a port that stays paused."""
    program = _PROGRAM.replace(
        'sys.stdin.readline()\n',
        """sys.stdin.readline()
import os
spare = []
def take():
    try:
        while True:
            spare.append(os.open('/dev/null', os.O_RDONLY))
    except OSError:
        reactor.callLater(1, free)
def free():
    for number in spare:
        os.close(number)
reactor.callLater(0, take)
def deliver(message):
    print(type(message).__name__, flush=True)
    os._exit(0)
connections._deliver = deliver
""",
    ).replace('reactor.callLater(0.2, measure)', '')
    with subprocess.Popen(
        [sys.executable, '-c', program, 'separate limits'],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        port = int(process.stdout.readline())
        process.stdin.write('\n')
        process.stdin.flush()
        with socket.create_connection(('127.0.0.1', port)) as caller:
            caller.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            output, _ = process.communicate(timeout=_TIMEOUT_S)
    assert output.split() == ['RequestReceived']
