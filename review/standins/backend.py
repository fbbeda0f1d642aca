"""Stand-in for a backend server, as PROTOCOL.md describes it."""

import asyncio

import http1


class Backend:
    """Runs `capacity` requests at once and queues a few more.

    The request field `X-Work-Ms` says how long a request works. A request
    for which `crashes(target, fields)` is true crashes the backend server as
    it begins to run. Each begin of a run is recorded.
    """

    def __init__(self, *, instance, service, host, port, capacity, record):
        self.instance = instance
        self.service = service
        self.host = host
        self.port = port
        self.capacity = capacity
        self.record = record
        self.on_crash = None
        self.crash = None
        self.crashes = _crashes_by_path
        self._slots = None
        self._waiting = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        """Accept connections."""
        self._slots = asyncio.Semaphore(self.capacity)
        self._waiting = 0
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    async def stop_hard(self):
        """End as a crashed process does: all sockets are closed at once."""
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        try:
            while True:
                head = await http1.read_head(reader)
                if head is None:
                    break
                body = await http1.read_body(reader, head[1])
                if not await self._run(head[0], head[1], body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def _run(self, line, fields, body, reader, writer):
        method, target, _ = line.split(' ')
        attempt = fields.get('attempt-id', '')
        if target == '/health':
            self._write(writer, 200, [('Instance-Id', self.instance)])
            return True
        expected = fields.get('target-instance', self.instance)
        if expected != self.instance:
            self._write(writer, 421, [('Instance-Id', self.instance)])
            return True
        if self._waiting >= 4 * self.capacity:
            self._write(
                writer, 503, [('Not-Processed', '1'), ('Attempt-Id', attempt)]
            )
            return True
        self._waiting += 1
        try:
            # A request is dropped when its connection closes.
            gone = asyncio.ensure_future(_closed(reader))
            slot = asyncio.ensure_future(self._slots.acquire())
            await asyncio.wait({gone, slot}, return_when='FIRST_COMPLETED')
            if not slot.done():
                slot.cancel()
                return False
        finally:
            self._waiting -= 1
        try:
            self.record(
                'run',
                attempt=attempt,
                instance=self.instance,
                method=method,
                path=target,
                body=len(body),
                caller=fields.get('caller-service', ''),
                timeout=fields.get('request-timeout-ms', ''),
            )
            if self.crash is not None and self.crashes(target, fields):
                self.crash(self, attempt)
                return False
            work = int(fields.get('x-work-ms', 5)) / 1000
            done, _ = await asyncio.wait({gone}, timeout=work)
            if done:
                self.record('dropped', attempt=attempt, instance=self.instance)
                return False
        finally:
            self._slots.release()
            if not gone.done():
                gone.cancel()
        self.record('done', attempt=attempt, instance=self.instance)
        answer = f'{attempt} {self.instance} {method} {target}'.encode()
        self._write(
            writer,
            200,
            [
                ('Attempt-Id', attempt),
                ('Response-Signature', f'sig.{attempt}'),
            ],
            answer,
        )
        return True

    def _write(self, writer, status, fields, body=b''):
        writer.write(
            http1.format_message(f'HTTP/1.1 {status} X', fields, body)
        )


def _crashes_by_path(target, fields):
    return '/crash' in target


async def _closed(reader):
    """Return when the peer has closed the connection.

    The node sends nothing on a connection before its answer.
    """
    while not reader.at_eof():
        if reader._buffer:  # noqa: SLF001
            await asyncio.sleep(0.01)
            continue
        if reader.exception() is not None:
            return
        await asyncio.sleep(0.005)
